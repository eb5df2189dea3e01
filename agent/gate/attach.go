package gate

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Reattach handles a Reattach message. It returns nil if the response continues at the
// requested sequence number. Otherwise it returns the message to reply with: a refusal
// if the attempt never ran and never will, or an end with outcome Unknown if its
// response has been dropped.
func (c *Core) Reattach(now time.Time, m *wire.Reattach) wire.Message {
	if r, ok := c.records[m.Attempt]; ok {
		r.detached = false
		return nil
	}
	c.window.expire(now)
	seen, ok := c.window.get(m.Attempt)
	if !ok {
		seen = seenID{refused: c.window.add(now, m.Attempt, true, outcome.ReasonConnectionLost), reason: outcome.ReasonConnectionLost}
	}
	if seen.refused {
		return refusal(m.Attempt, seen.reason, 0).Refusal
	}
	return &wire.ResponseEnd{Attempt: m.Attempt, Outcome: outcome.Unknown, Reason: outcome.ReasonIncomplete}
}

// Detach records that the connection to the attempt's entry was lost.
func (c *Core) Detach(now time.Time, attempt model.AttemptID) {
	if r, ok := c.records[attempt]; ok && !r.detached {
		r.detached, r.detachedAt = true, now
	}
}

// Cancel handles a RequestCancel message. It reports whether the run on the backend
// server must be canceled. A non-repeatable call always runs to its end.
func (c *Core) Cancel(now time.Time, attempt model.AttemptID) bool {
	r, ok := c.records[attempt]
	if !ok {
		c.window.expire(now)
		if _, seen := c.window.get(attempt); !seen {
			c.window.add(now, attempt, true, outcome.ReasonCanceled)
		}
		return false
	}
	if !r.repeatable {
		return false
	}
	if !r.running {
		c.remove(r)
		return false
	}
	return true
}

// Expire returns the repeatable attempts to cancel, because their deadline has passed
// or no entry reattached in time. It also drops responses whose retention has ended.
func (c *Core) Expire(now time.Time) (cancel []model.AttemptID) {
	c.window.expire(now)
	c.crashed = slices.DeleteFunc(c.crashed, func(r crashedRequest) bool { return now.Sub(r.at) > crashedRetention })
	for id, r := range c.records {
		switch {
		case !r.running:
			if now.Sub(r.endedAt) > c.config.ResponseRetention {
				c.remove(r)
			}
		case !r.repeatable:
		case !now.Before(r.deadline), r.detached && now.Sub(r.detachedAt) >= c.config.ReattachTimeout:
			cancel = append(cancel, id)
		}
	}
	return cancel
}

// CrashReport returns the report on a crash of the backend server. It lists the
// requests whose attempts are running or failed in the crash.
func (c *Core) CrashReport(now time.Time, incarnation uint64) *wire.CrashReport {
	report := &wire.CrashReport{Incarnation: incarnation}
	added := make(map[model.Fingerprint]struct{})
	add := func(f model.Fingerprint) {
		if _, ok := added[f]; !ok {
			added[f] = struct{}{}
			report.InFlight = append(report.InFlight, f)
		}
	}
	for _, r := range c.crashed {
		if now.Sub(r.at) <= crashedRetention {
			add(r.fingerprint)
		}
	}
	c.crashed = nil
	for _, r := range c.records {
		if r.running {
			add(r.fingerprint)
		}
	}
	return report
}

// StopAdmitting refuses all requests until ResumeAdmitting is called.
func (c *Core) StopAdmitting() { c.quiescing = true }

// ResumeAdmitting ends StopAdmitting.
func (c *Core) ResumeAdmitting() { c.quiescing = false }

// Quiescing reports whether StopAdmitting is in effect.
func (c *Core) Quiescing() bool { return c.quiescing }
