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

// deadline returns when the connection counts as silent. The peer learns of the
// first request in flight only when that arrives, so the short interval counts
// from there.
func (c *connection) deadline() time.Time {
	from := c.heard
	if c.busySince.After(from) {
		from = c.busySince
	}
	return from.Add(MissedLimit * c.interval())
}

// overdue reports whether at least one heartbeat was missed.
func (c *connection) overdue(now time.Time) bool {
	from := c.heard
	if c.busySince.After(from) {
		from = c.busySince
	}
	return now.Sub(from) > c.interval()
}
