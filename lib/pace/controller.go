package pace

import "time"

const (
	// StartRamp is the time over which the window of a server that has started grows
	// to its slots if no response tells more. Cold engines become warm in about this
	// time.
	StartRamp = 3 * time.Second
	// MaxRamp bounds the ramps after an ejection, a pause or a cold period.
	MaxRamp = 2 * time.Second
	// maxDuration bounds the time for which a server is limited. A server that is slow
	// for longer is not one that has just started; its load is limited by the predicted
	// time.
	maxDuration = 20 * time.Second
	// initialShare is the share of the slots that the window has at first: two of 12 or
	// 16, from which three doublings reach all.
	initialShare = 8
)

// Controller holds the number of requests that one server may have in flight.
type Controller struct {
	cause Cause
	// from is when the limit begins to apply.
	from time.Time
	ramp time.Duration
	// window is the window at changedAt; zero stands for the initial one. It grows from
	// there over the ramp.
	window    int
	changedAt time.Time
	// grown is how long the window has grown with time since changedAt, without the time
	// after growsSince, which is when it began to grow again.
	grown      time.Duration
	growsSince time.Time
	// waiting is set while requests wait for their responses.
	waiting bool
	ended   bool
}

// New returns a Controller whose limit applies from a time on. The window grows to the
// number of slots over the ramp if no response tells more.
func New(cause Cause, from time.Time, ramp time.Duration) *Controller {
	return &Controller{cause: cause, from: from, ramp: ramp, changedAt: from, growsSince: from}
}

// Cause returns why the server is limited.
func (c *Controller) Cause() Cause { return c.cause }

// From returns when the limit begins to apply.
func (c *Controller) From() time.Time { return c.from }

// Window returns the number of requests that a server with the given slots may have in
// flight. It is at least one.
func (c *Controller) Window(slots int, now time.Time) int {
	window, slots := c.base(slots), max(1, slots)
	elapsed := c.elapsed(now)
	switch {
	case window >= slots || elapsed >= c.ramp:
		return slots
	case elapsed <= 0:
		return window
	}
	return window + int(float64(slots-window)*float64(elapsed)/float64(c.ramp))
}

// base returns the window at changedAt.
func (c *Controller) base(slots int) int {
	return max(c.window, initialWindow(slots))
}

func initialWindow(slots int) int { return max(1, (slots+initialShare-1)/initialShare) }

// Full reports whether a server must get no further request, unless there is no other
// choice. own counts the requests of the caller, total those of all that it knows of. A
// server with none of the caller's requests always has room for one: the caller would
// otherwise learn nothing about it.
func (c *Controller) Full(own, total, slots int, now time.Time) bool {
	return c.Active(now) && own > 0 && total >= c.Window(slots, now)
}

// Active reports whether the limit applies now.
func (c *Controller) Active(now time.Time) bool { return !now.Before(c.from) && !c.Ended(now) }

// Ended reports whether the server is no longer limited, so that the Controller can be
// dropped.
func (c *Controller) Ended(now time.Time) bool {
	return c.ended || c.elapsed(now) >= c.ramp || now.Sub(c.from) >= maxDuration
}

// Duration returns how long the limit has applied, to its end if it has ended by time.
func (c *Controller) Duration(now time.Time) time.Duration {
	if over := c.elapsed(now) - c.ramp; !c.ended && over > 0 {
		now = now.Add(-over)
	}
	return min(max(0, now.Sub(c.from)), maxDuration)
}

// Observe records what the response to one request tells. placed is when the request was
// placed, inFlight the number of requests on the server then, including it.
func (c *Controller) Observe(v Verdict, placed time.Time, inFlight, slots int, now time.Time) {
	if !c.Active(now) || placed.Before(c.changedAt) {
		// The request was placed under another window and says nothing about this one.
		// This also bounds the changes to one in each response time.
		return
	}
	window := c.Window(slots, now)
	switch {
	case v == Late:
		c.set(max(initialWindow(slots), min(window, inFlight)/2), now)
	case v != InTime:
	case window >= slots:
		c.ended = true
	case 2*inFlight >= window:
		// A server that has used less of its window has not shown that it sustains more.
		c.set(min(2*window, slots), now)
	}
}

// SetWaiting records whether requests wait for their responses. Meanwhile the window does not
// grow with time: the responses will tell more, and a slow server would be flooded before the
// first late one. After a pause it does, as the server has said itself how long it needs.
func (c *Controller) SetWaiting(waiting bool, now time.Time) {
	if waiting == c.waiting || c.cause == Pause || now.Before(c.from) {
		return
	}
	c.grown = c.elapsed(now)
	c.waiting, c.growsSince = waiting, now
}

// elapsed is how long the window has grown with time since its last change.
func (c *Controller) elapsed(now time.Time) time.Duration {
	if c.waiting {
		return c.grown
	}
	return c.grown + max(0, now.Sub(c.growsSince))
}

func (c *Controller) set(window int, now time.Time) {
	c.window, c.changedAt = window, now
	c.grown, c.growsSince = 0, now
}
