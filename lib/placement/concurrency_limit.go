package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/pace"
)

// concurrencyLimit limits the concurrency of a server; the zero value does not. reported is
// set once Config.OnPace has been told.
type concurrencyLimit struct {
	controller *pace.Controller
	reported   bool
}

func (l *concurrencyLimit) isFor(cause pace.Cause) bool {
	return l.controller != nil && l.controller.Cause() == cause
}

// concurrencyLimits are those of one server: one that applies to the requests of all entries,
// after a start, an ejection or a cold period, and one after a pause, which is between the
// server and this entry. Each may begin and end while the other one applies.
type concurrencyLimits struct {
	general, pause concurrencyLimit
	// slowness is that of the responses since a limit began.
	slowness pace.Slowness
}

// of returns the limit for a cause.
func (c *concurrencyLimits) of(cause pace.Cause) *concurrencyLimit {
	if cause == pace.Pause {
		return &c.pause
	}
	return &c.general
}

// each calls f with the limits that exist.
func (c *concurrencyLimits) each(f func(*concurrencyLimit)) {
	for _, l := range [...]*concurrencyLimit{&c.general, &c.pause} {
		if l.controller != nil {
			f(l)
		}
	}
}

// exist reports whether there is a limit, which may not apply yet.
func (c *concurrencyLimits) exist() bool {
	return c.general.controller != nil || c.pause.controller != nil
}

// active reports whether a limit applies now.
func (c *concurrencyLimits) active(now time.Time) bool {
	active := false
	c.each(func(l *concurrencyLimit) { active = active || l.controller.Active(now) })
	return active
}

func (c *concurrencyLimits) setWaiting(waiting bool, now time.Time) {
	c.each(func(l *concurrencyLimit) { l.controller.SetWaiting(waiting, now) })
}

// full reports whether the server must get no further request unless there is no other
// choice. own is set for requests of this entry: the limit after a pause applies only to
// those. running counts the requests that this entry has placed, total all that are known.
func (c *concurrencyLimits) full(own bool, running, total, slots int, now time.Time) bool {
	if g := c.general.controller; g != nil && g.Full(running, total, slots, now) {
		return true
	}
	return own && c.pauseFull(running, total, slots, now)
}

func (c *concurrencyLimits) pauseFull(running, total, slots int, now time.Time) bool {
	return c.pause.controller != nil && c.pause.controller.Full(running, total, slots, now)
}

// window returns the smallest window that applies to a request.
func (c *concurrencyLimits) window(own bool, slots int, now time.Time) int {
	window := max(1, slots)
	c.each(func(l *concurrencyLimit) {
		if l.controller.Active(now) && (own || l == &c.general) {
			window = min(window, l.controller.Window(slots, now))
		}
	})
	return window
}
