package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// connection is the state of one connection to a member.
type connection struct {
	instance    model.InstanceID
	generation  model.Generation
	lastFrameAt time.Time
	busySince   time.Time // since when requests are in flight; zero if none are
	probedAt    time.Time // when the unanswered probe was sent; zero if none
	lastSeq     uint64    // highest heartbeat sequence number received
	silent      bool
}

// interval returns the interval at which the peer sends heartbeats.
func (c *connection) interval() time.Duration {
	if c.busySince.IsZero() {
		return IdleInterval
	}
	return BusyInterval
}

// awaitingSince returns the time from which the next heartbeat is awaited. That is not
// before the first request in flight, because the peer switches to the short
// interval only when that request arrives.
func (c *connection) awaitingSince() time.Time {
	if c.busySince.After(c.lastFrameAt) {
		return c.busySince
	}
	return c.lastFrameAt
}

// deadline returns the time at which the connection counts as silent. The short
// interval applies from the time of a probe, because the peer answers it
// immediately.
func (c *connection) deadline() time.Time {
	deadline := c.awaitingSince().Add(MaxMissedHeartbeats * c.interval())
	if probed := c.probedAt.Add(MaxMissedHeartbeats * BusyInterval); !c.probedAt.IsZero() && probed.Before(deadline) {
		return probed
	}
	return deadline
}

// overdue reports whether at least one heartbeat or the answer to a probe is
// overdue.
func (c *connection) overdue(now time.Time) bool {
	return now.Sub(c.awaitingSince()) > c.interval() || c.probeOverdue(now)
}

// probeOverdue reports whether a probe is unanswered for longer than a round trip on
// any path takes.
func (c *connection) probeOverdue(now time.Time) bool {
	return !c.probedAt.IsZero() && now.Sub(c.probedAt) > BusyInterval
}
