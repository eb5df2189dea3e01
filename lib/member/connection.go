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
	if c.busySince.IsZero() && c.probedAt.IsZero() {
		return IdleInterval
	}
	return BusyInterval
}

// since returns the time from which missed heartbeats count. The peer learns of
// the first request in flight, or of a probe, only when that arrives, so the
// short interval counts from there.
func (c *connection) since() time.Time {
	from := c.heard
	for _, t := range []time.Time{c.busySince, c.probedAt} {
		if t.After(from) {
			from = t
		}
	}
	return from
}

// deadline returns when the connection counts as silent.
func (c *connection) deadline() time.Time {
	return c.since().Add(MissedLimit * c.interval())
}

// overdue reports whether at least one heartbeat was missed.
func (c *connection) overdue(now time.Time) bool {
	return now.Sub(c.since()) > c.interval()
}

// failsProbe reports whether a probe has no answer for longer than any path
// takes.
func (c *connection) failsProbe(now time.Time) bool {
	return !c.probedAt.IsZero() && c.overdue(now)
}
