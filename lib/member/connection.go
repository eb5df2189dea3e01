package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// connection is the state of one connection.
type connection struct {
	instance   model.InstanceID
	generation model.Generation
	heard      time.Time
	busySince  time.Time // zero without requests in flight
	probedAt   time.Time // zero when no probe waits for its answer
	lastSeq    uint64    // highest heartbeat sequence number
	silent     bool
}

// interval returns the heartbeat interval that the peer keeps.
func (c *connection) interval() time.Duration {
	if c.busySince.IsZero() {
		return IdleInterval
	}
	return BusyInterval
}

// since returns the time from which missed heartbeats count. The peer learns of
// the first request in flight only when that arrives, so the short interval
// counts from there.
func (c *connection) since() time.Time {
	if c.busySince.After(c.heard) {
		return c.busySince
	}
	return c.heard
}

// deadline returns when the connection counts as silent. A probe is answered at
// once, so the short interval counts from it.
func (c *connection) deadline() time.Time {
	deadline := c.since().Add(MaxMissedHeartbeats * c.interval())
	if probed := c.probedAt.Add(MaxMissedHeartbeats * BusyInterval); !c.probedAt.IsZero() && probed.Before(deadline) {
		return probed
	}
	return deadline
}

// overdue reports whether at least one heartbeat was missed.
func (c *connection) overdue(now time.Time) bool {
	return now.Sub(c.since()) > c.interval() || c.failsProbe(now)
}

// failsProbe reports whether a probe has no answer for longer than any path
// takes.
func (c *connection) failsProbe(now time.Time) bool {
	return !c.probedAt.IsZero() && now.Sub(c.probedAt) > BusyInterval
}
