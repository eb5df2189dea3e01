package spread

import "time"

// schedule determines when pieces are due at the origin: one after another at
// the rate of its link, so that each spreads while the next one is being sent.
// All members have about the same schedule. While the origin is down, it also
// spreads the members' retries: if all of them asked at once when it returned,
// their pieces would share its link and arrive together at the end.
type schedule struct {
	interval time.Duration
	// start is when the first piece is due.
	start time.Time
	// positions maps each piece to its position in the order.
	positions map[int]int
	// retryRound is the interval at which each piece is due again while the origin
	// is down, or zero while it is up.
	retryRound time.Duration
}

const (
	// minRetryRound is the minimum interval between a member's requests to an
	// origin that is down.
	minRetryRound = 300 * time.Millisecond
	// minRetrySlot is the minimum time in each round in which a member may send a
	// request.
	minRetrySlot = 60 * time.Millisecond
)

func newSchedule(interval time.Duration, pieces []int, start time.Time) schedule {
	s := schedule{interval: interval}
	s.reset(pieces, start)
	return s
}

// reset starts a new order of pieces.
func (s *schedule) reset(pieces []int, start time.Time) {
	s.start, s.positions = start, make(map[int]int, len(pieces))
	for i, piece := range pieces {
		s.positions[piece] = i
	}
}

// originDown reports whether the origin failed to answer the last time.
func (s *schedule) originDown() bool { return s.retryRound > 0 }

// markDown records that the origin doesn't answer.
func (s *schedule) markDown(pieces []int, now time.Time) {
	if s.originDown() {
		return
	}
	s.reset(pieces, now)
	s.retryRound = max(minRetryRound, time.Duration(len(pieces))*s.interval)
}

// markUp records that a piece has come from the origin again.
func (s *schedule) markUp(pieces []int, now time.Time) {
	s.retryRound = 0
	s.reset(pieces, now)
}

// sinceDue returns how long a piece has been due, or a negative duration if it
// isn't due yet. While the origin is down a piece is due for a short time in
// each round.
func (s *schedule) sinceDue(piece int, now time.Time) time.Duration {
	since := now.Sub(s.start) - time.Duration(s.positions[piece])*s.interval
	if !s.originDown() || since < 0 {
		return since
	}
	if since %= s.retryRound; since > max(s.interval, minRetrySlot) {
		return -1
	}
	return since
}
