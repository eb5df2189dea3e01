package spread

import "time"

const (
	// maxQueueTime is the time for which pieces from peers may occupy the instance's
	// link, with the default number of requests. Live requests wait behind them, and
	// entries give up connections that do not open within 250 ms. An engine that serves
	// nothing has more requests open, and they may take longer in the same proportion.
	maxQueueTime = 200 * time.Millisecond
	// linkTimeWeight is the weight of one piece in the smoothed link time.
	linkTimeWeight = 0.25
)

// window bounds the concurrent requests to peers by the rate at which the instance's
// link delivers pieces. A link may become much narrower than it is declared.
type window struct {
	limit int
	// linkTime is the smoothed time for which a piece occupies the link; zero before
	// the first piece.
	linkTime       time.Duration
	lastReceivedAt time.Time
}

// received records a piece whose bytes arrived within the given time. Pieces that
// arrive at the same time share the link, so that a piece counts only from the end of
// the previous one. The time that it waits at its sender does not count.
func (w *window) received(transfer time.Duration, now time.Time) {
	own := transfer
	if !w.lastReceivedAt.IsZero() {
		own = min(own, now.Sub(w.lastReceivedAt))
	}
	w.lastReceivedAt = now
	w.linkTime += time.Duration(linkTimeWeight * float64(own-w.linkTime))
}

// size returns the number of requests that may be open at the same time.
func (w *window) size() int {
	queueTime := maxQueueTime * time.Duration(w.limit) / defaultPeerRequests
	if time.Duration(w.limit)*w.linkTime <= queueTime {
		return w.limit
	}
	return max(1, int(queueTime/w.linkTime))
}

// queueTime is how long the pieces on their way may occupy the link.
func (w *window) queueTime() time.Duration { return time.Duration(w.size()) * w.linkTime }

// narrow reports whether the link is too narrow for half of the requests that may be
// open.
func (w *window) narrow() bool { return 2*w.size() < w.limit }
