package gateway

import "time"

const (
	// stallThreshold is the time between two datagrams after which this process may have been
	// stopped, and what it reads next may have waited in the socket.
	stallThreshold = 500 * time.Millisecond
	// emptyWait is a wait for a datagram that shows that the socket was empty.
	emptyWait = time.Millisecond
)

// arrivals bounds the age of the datagrams of a socket. One that arrives while the process
// is stopped is read when that goes on.
type arrivals struct {
	waitingSince, receivedAt time.Time
	// stalled is set from a stall until the socket has been empty; what is read then may have
	// arrived since stalledSince.
	stalled      bool
	stalledSince time.Time
}

// await records that the process begins to wait for a datagram.
func (a *arrivals) await(now time.Time) {
	a.waitingSince = now
	if a.receivedAt.IsZero() {
		a.receivedAt = now
	}
}

// received records that the process has read one.
func (a *arrivals) received(now time.Time) {
	switch {
	case now.Sub(a.receivedAt) > stallThreshold:
		if !a.stalled {
			a.stalledSince = a.receivedAt
		}
		a.stalled = true
	case now.Sub(a.waitingSince) >= emptyWait:
		a.stalled = false
	}
	a.receivedAt = now
}

// sentAfter returns a time before the last datagram was sent.
func (a *arrivals) sentAfter(now time.Time) time.Time {
	if a.stalled {
		return a.stalledSince
	}
	return now.Add(-stallThreshold)
}
