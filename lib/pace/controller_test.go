package pace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/pace"
)

const (
	slots        = 16
	responseTime = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

var _ = Describe("Controller", func() {
	It("reaches the slots within a few response times, doubling at most in each", func() {
		// Guards against servers that are left idle while others are full: a fixed ramp
		// takes seconds, and one place more for each round takes 14 response times.
		c := pace.New(pace.Started, start, pace.StartRamp)
		now, before := start, c.Window(slots, start)
		Expect(before).To(Equal(2))
		for rounds := 1; ; rounds++ {
			placed := now
			now = now.Add(responseTime)
			for n := range before {
				c.Observe(pace.InTime, placed, n+1, slots, now)
			}
			if c.Ended(now) {
				Expect(rounds).To(Equal(4))
				return
			}
			window := c.Window(slots, now)
			Expect(window).To(And(BeNumerically(">", before), BeNumerically("<=", 2*before)))
			before = window
		}
	})

	It("keeps the window small while responses are late, and widens it when they are in time again", func() {
		// Guards against a slow server that is flooded as it seems idle.
		c := pace.New(pace.Started, start, pace.StartRamp)
		now := start
		for range 6 {
			placed := now
			now = now.Add(5 * responseTime)
			c.Observe(pace.Late, placed, c.Window(slots, placed), slots, now)
			Expect(c.Window(slots, now)).To(Equal(2))
		}
		for range 4 {
			placed := now
			now = now.Add(responseTime)
			c.Observe(pace.InTime, placed, c.Window(slots, placed), slots, now)
		}
		Expect(c.Ended(now)).To(BeTrue())
	})

	It("halves the window once for the late responses of one response time", func() {
		// Guards against a window that falls to its minimum because of one stall that
		// delays all responses in flight.
		c := pace.New(pace.Started, start, pace.StartRamp)
		now := start
		for range 2 {
			placed := now
			now = now.Add(responseTime)
			c.Observe(pace.InTime, placed, c.Window(slots, placed), slots, now)
		}
		placed := now
		now = now.Add(10 * time.Millisecond)
		Expect(c.Window(slots, now)).To(Equal(8))
		for range 8 {
			c.Observe(pace.Late, placed, 8, slots, now)
		}
		Expect(c.Window(slots, now)).To(Equal(4))
	})

	It("does not grow with time while requests wait, except after a pause", func() {
		// Guards against a slow server that is flooded before its first late response.
		for _, cause := range []pace.Cause{pace.Started, pace.Pause} {
			c := pace.New(cause, start, pace.StartRamp)
			c.SetWaiting(true, start)
			now := start.Add(2 * pace.StartRamp)
			Expect(c.Ended(now)).To(Equal(cause == pace.Pause))
			c.SetWaiting(false, now)
			Expect(c.Ended(now.Add(pace.StartRamp - 1))).To(Equal(cause == pace.Pause))
			Expect(c.Ended(now.Add(pace.StartRamp))).To(BeTrue())
		}
	})

	It("does not widen the window for a server that hardly uses it", func() {
		// Guards against a burst on a server of which only is known that it runs one request
		// in time.
		c := pace.New(pace.Started, start, pace.StartRamp)
		now := start
		for range 10 {
			placed := now
			now = now.Add(10 * time.Millisecond)
			c.Observe(pace.InTime, placed, 1, slots, now)
		}
		Expect(c.Window(slots, now)).To(BeNumerically("<=", 5))
	})

	It("ends by itself for a server without requests, and for one that is always late", func() {
		// Guards against servers that are limited for ever.
		c := pace.New(pace.Started, start, pace.StartRamp)
		Expect(c.Active(start.Add(pace.StartRamp - time.Millisecond))).To(BeTrue())
		Expect(c.Ended(start.Add(pace.StartRamp))).To(BeTrue())
		c = pace.New(pace.Ejection, start, pace.MaxRamp)
		now := start
		for !c.Ended(now) {
			Expect(now.Sub(start)).To(BeNumerically("<=", 20*time.Second))
			placed := now
			now = now.Add(time.Second)
			c.Observe(pace.Late, placed, 2, slots, now)
		}
		Expect(now.Sub(start)).To(BeNumerically(">", 10*time.Second))
	})

	It("tells how long it has applied, not when that was noticed", func() {
		// Guards against log lines of limits that seem to have lasted until the next request.
		c := pace.New(pace.Started, start, pace.StartRamp)
		Expect(c.Duration(start.Add(-time.Second))).To(BeZero())
		Expect(c.Duration(start.Add(time.Second))).To(Equal(time.Second))
		Expect(c.Duration(start.Add(time.Hour))).To(Equal(pace.StartRamp))
		c.SetWaiting(true, start.Add(time.Second))
		Expect(c.Duration(start.Add(2 * time.Second))).To(Equal(2 * time.Second))
		Expect(c.Duration(start.Add(time.Hour))).To(Equal(20 * time.Second))
		c.SetWaiting(false, start.Add(4*time.Second))
		Expect(c.Duration(start.Add(time.Hour))).To(Equal(3*time.Second + pace.StartRamp))
	})

	It("keeps to its bounds whatever responses tell", func() {
		// Guards against windows of no request, so that a server is never tried again, and
		// against windows above the slots.
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			slots := rapid.IntRange(0, 20).Draw(t, "slots")
			c := pace.New(pace.Started, start, rapid.SampledFrom([]time.Duration{0, time.Second, pace.StartRamp}).Draw(t, "ramp"))
			now := start.Add(-time.Second)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				c.SetWaiting(rapid.Bool().Draw(t, "waiting"), now)
				before := c.Window(slots, now)
				placed := now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "took")) * time.Millisecond)
				c.Observe(pace.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")), placed, rapid.IntRange(1, 30).Draw(t, "in flight"), slots, now)
				window := c.Window(slots, now)
				if window < 1 || window > max(1, slots) || window > 2*before {
					t.Fatalf("window %d after %d with %d slots", window, before, slots)
				}
				if c.Full(0, 100, slots, now) {
					t.Fatalf("a server without own requests counts as full")
				}
				if c.Full(1, max(1, slots)-1, slots, now) && c.Ended(now) {
					t.Fatalf("limited after the end")
				}
			}
		})
	})
})

var _ = Describe("Judge", func() {
	It("allows for the error that the prediction has for all servers of a service", func() {
		// Guards against a service whose declared figures are too low: its new servers would
		// be limited until the time limit, although they are as fast as the others.
		usual := &pace.Usual{}
		Expect(pace.Judge(120*time.Millisecond, responseTime, usual)).To(Equal(pace.InTime))
		Expect(pace.Judge(300*time.Millisecond, responseTime, usual)).To(Equal(pace.Late))
		Expect(pace.Judge(300*time.Millisecond, 0, usual)).To(Equal(pace.Unclear))
		for range 60 {
			usual.Observe(3*responseTime, responseTime)
		}
		Expect(usual.Ratio()).To(BeNumerically("~", 3, 0.1))
		Expect(pace.Judge(320*time.Millisecond, responseTime, usual)).To(Equal(pace.InTime))
		Expect(pace.Judge(900*time.Millisecond, responseTime, usual)).To(Equal(pace.Late))
	})
})

var _ = Describe("Activity", func() {
	It("settles some seconds after the first request, and anew after an idle time", func() {
		// Guards against limits of the servers that are there when a deployment starts.
		var a pace.Activity
		now := start
		Expect(a.Settled(now)).To(BeFalse())
		for range 40 {
			a.Placed(now)
			Expect(a.Settled(now)).To(Equal(now.Sub(start) >= 3*time.Second))
			now = now.Add(100 * time.Millisecond)
		}
		now = now.Add(time.Minute)
		Expect(a.Settled(now)).To(BeFalse())
		a.Placed(now)
		Expect(a.Settled(now)).To(BeFalse())
	})
})
