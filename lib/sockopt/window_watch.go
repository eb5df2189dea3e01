package sockopt

import (
	"time"

	"golang.org/x/sys/unix"
)

// windowWatch lets a connection survive a peer that acknowledges probes and has no room for
// more data, as it does not read yet. Linux closes such a connection once its window has been
// full for the user timeout, whatever the peer acknowledges. The watch therefore moves the
// timeout as long as acknowledgements arrive. A peer that is silent is still found: Linux
// probes a full window before the timeout passes, and no answer moves it any more.
type windowWatch struct {
	// observedAt is when the connection was observed last.
	observedAt time.Time
	// fullSince is a time at or before the one since which the window has been full; zero if
	// it is not full. acked are the bytes that the peer had acknowledged then.
	fullSince time.Time
	acked     uint64
	// timeout is the user timeout in force.
	timeout time.Duration
}

func newWindowWatch(now time.Time) *windowWatch {
	return &windowWatch{observedAt: now, timeout: userTimeout}
}

// observe adjusts the user timeout of a connection. It must be called at least once in
// each userTimeout.
func (w *windowWatch) observe(fd uintptr, info *unix.TCPInfo, now time.Time) error {
	timeout := w.nextTimeout(info, now)
	w.observedAt = now
	if timeout == w.timeout {
		return nil
	}
	w.timeout = timeout
	return setUserTimeout(fd, timeout)
}

// nextTimeout returns the user timeout that applies from now on. Linux compares it with the
// time for which the window has been full.
func (w *windowWatch) nextTimeout(info *unix.TCPInfo, now time.Time) time.Duration {
	isFull := info.Notsent_bytes > 0 && info.Unacked == 0
	if !isFull {
		w.fullSince = time.Time{}
		return userTimeout
	}
	if w.fullSince.IsZero() || w.acked != info.Bytes_acked {
		w.fullSince, w.acked = w.observedAt, info.Bytes_acked
	}
	silence := time.Duration(info.Last_ack_recv) * time.Millisecond
	if silence >= userTimeout {
		return w.timeout
	}
	return now.Sub(w.fullSince) + userTimeout
}
