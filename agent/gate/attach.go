package gate

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Reattach decides on a Reattach. It returns nil when the answer goes on from
// its next sequence number, and otherwise the message that answers it: a
// refusal for an attempt that never ran and now never will, or an end without an
// outcome for one whose answer is gone.
func (c *Core) Reattach(now time.Time, m *wire.Reattach) wire.Message {
	if r, ok := c.records[m.Attempt]; ok {
		r.detached = false
		return nil
	}
	c.window.expire(now)
	s, ok := c.window.get(m.Attempt)
	if !ok {
		s = seen{refused: c.window.add(now, m.Attempt, true, outcome.ReasonConnectionLost), reason: outcome.ReasonConnectionLost}
	}
	if s.refused {
		return refusal(m.Attempt, s.reason, 0).Refusal
	}
	return &wire.ResponseEnd{Attempt: m.Attempt, Outcome: outcome.Unknown, Reason: outcome.ReasonIncomplete}
}

// Detach records that the connection to the attempt's entry is lost.
func (c *Core) Detach(now time.Time, attempt model.AttemptID) {
	if r, ok := c.records[attempt]; ok && !r.detached {
		r.detached, r.detachedAt = true, now
	}
}

// Cancel decides on a RequestCancel. It reports whether the backend server's run
// is to be cancelled. A non-repeatable call always runs to its end.
func (c *Core) Cancel(now time.Time, attempt model.AttemptID) bool {
	r, ok := c.records[attempt]
	if !ok {
		c.window.expire(now)
		if _, known := c.window.get(attempt); !known {
			c.window.add(now, attempt, true, outcome.ReasonCanceled)
		}
		return false
	}
	if !r.repeatable {
		return false
	}
	if !r.running {
		delete(c.records, attempt)
		return false
	}
	return true
}

// Expire returns the repeatable attempts to cancel: their deadline has passed,
// or no entry came back for them. It forgets answers that nobody fetched.
func (c *Core) Expire(now time.Time) (cancel []model.AttemptID) {
	c.window.expire(now)
	c.lost = slices.DeleteFunc(c.lost, func(l lostFinger) bool { return now.Sub(l.at) > lostHold })
	for id, r := range c.records {
		switch {
		case !r.running:
			if now.Sub(r.endedAt) > c.config.AnswerRetention {
				delete(c.records, id)
			}
		case !r.repeatable:
		case !now.Before(r.deadline), r.detached && now.Sub(r.detachedAt) >= c.config.ReattachTimeout:
			cancel = append(cancel, id)
		}
	}
	return cancel
}

// CrashReport returns the report about a backend server that died.
func (c *Core) CrashReport(now time.Time, incarnation uint64) *wire.CrashReport {
	report := &wire.CrashReport{Incarnation: incarnation}
	known := make(map[model.Fingerprint]struct{})
	add := func(f model.Fingerprint) {
		if _, ok := known[f]; !ok {
			known[f] = struct{}{}
			report.InFlight = append(report.InFlight, f)
		}
	}
	for _, l := range c.lost {
		if now.Sub(l.at) <= lostHold {
			add(l.finger)
		}
	}
	c.lost = nil
	for _, r := range c.records {
		if r.running {
			add(r.finger)
		}
	}
	return report
}

// StopAdmitting refuses requests while the weights change.
func (c *Core) StopAdmitting() { c.switching = true }

// ResumeAdmitting ends StopAdmitting.
func (c *Core) ResumeAdmitting() { c.switching = false }

// Switching reports whether the weights are changing.
func (c *Core) Switching() bool { return c.switching }
