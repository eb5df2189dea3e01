package soak

import (
	"errors"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// fixture is a run of one request that keeps all promises.
type fixture struct {
	check   *check
	outcome outcome
	// others are further requests.
	others []outcome
	run    platformtest.Run
}

func routeOf(prefix string) route {
	for _, r := range routes {
		if r.Prefix == prefix {
			return r
		}
	}
	panic(prefix)
}

func newFixture(prefix string) *fixture {
	l := newLedger()
	l.started = time.Unix(1000, 0)
	r := routeOf(prefix)
	f := &fixture{check: &check{ledger: l, busy: 10 * time.Second, end: time.Minute}}
	f.outcome = outcome{
		route: r, sent: 20 * time.Second, ended: 21 * time.Second,
		call:   platformtest.Call{AttemptID: "a1", Path: prefix + "a1", Body: "b", Timeout: time.Duration(r.TimeoutMS) * time.Millisecond, LastEventID: -1},
		answer: platformtest.Response{Status: 200, Signed: true, AttemptID: "a1", Body: platformtest.ResponseBody("a1"), Complete: true},
	}
	if r.streams() {
		f.outcome.answer.Body = ""
		for i := range eventsPerStream {
			f.outcome.answer.Events = append(f.outcome.answer.Events, platformtest.Event{ID: i, Data: platformtest.EventData("a1", i)})
		}
	}
	f.run = platformtest.Run{AttemptID: "a1", Server: "x-1", Service: r.Service, Team: team, Target: prefix + "a1", Body: "b", LastEventID: -1, StartedAt: l.started.Add(20 * time.Second)}
	if r.streams() {
		f.run.Version = 1
	}
	return f
}

// rules returns the rules that are broken, without the recovery of the whole.
func (f *fixture) rules(runs ...platformtest.Run) []string {
	f.check.ledger.outcomes = append([]outcome{f.outcome}, f.others...)
	for _, r := range runs {
		f.check.ledger.RunStarted(r)
	}
	broken := []string{}
	for _, v := range f.check.run() {
		if v.Rule != "RECOVER" {
			broken = append(broken, v.Rule)
		}
	}
	return broken
}

var _ = Describe("Checks", func() {
	It("find nothing where all is well", func() {
		for _, r := range routes {
			f := newFixture(r.Prefix)
			Expect(f.rules(f.run)).To(BeEmpty(), r.Prefix)
		}
	})

	DescribeTable("find what is broken",
		// Guards against a soak that sees nothing.
		func(rule, prefix string, spoil func(*fixture), again int) {
			f := newFixture(prefix)
			spoil(f)
			runs := []platformtest.Run{f.run}
			for range again {
				runs = append(runs, f.run)
			}
			Expect(f.rules(runs...)).To(ContainElement(rule))
		},
		Entry("run twice", "TWICE", "/order/", func(*fixture) {}, 1),
		Entry("stream run twice", "TWICE", "/once/", func(*fixture) {}, 1),
		Entry("too many servers", "BUDGET", "/status/", func(*fixture) {}, 2),
		Entry("refused and run", "REFUSED", "/order/", func(f *fixture) { f.outcome.answer.Status = 503 }, 0),
		Entry("denied", "DENIED", "/order/", func(f *fixture) { f.outcome.answer.Status = 404 }, 0),
		Entry("unsigned", "MIXED", "/order/", func(f *fixture) { f.outcome.answer.Signed = false }, 0),
		Entry("other answer", "MIXED", "/status/", func(f *fixture) { f.outcome.answer.Body = platformtest.ResponseBody("a2") }, 0),
		Entry("event missing", "ORDER", "/resumed/", func(f *fixture) {
			f.outcome.answer.Events = append(f.outcome.answer.Events[:3:3], f.outcome.answer.Events[4:]...)
		}, 0),
		Entry("complete too early", "ORDER", "/once/", func(f *fixture) { f.outcome.answer.Events = f.outcome.answer.Events[:3] }, 0),
		Entry("broken off", "LOST", "/once/", func(f *fixture) { f.outcome.answer.Complete = false }, 0),
		Entry("no answer", "LOST", "/order/", func(f *fixture) { f.outcome.err = errors.New("EOF") }, 0),
		Entry("no connection", "UNREACHABLE", "/order/", func(f *fixture) {
			f.outcome.err, f.outcome.ready = &net.OpError{Op: "dial", Err: errors.New("refused")}, true
		}, 0),
		Entry("late answer", "LATE", "/order/", func(f *fixture) { f.outcome.ended = f.outcome.sent + 3*time.Second }, 0),
		Entry("unknown request", "UNASKED", "/order/", func(f *fixture) { f.run.AttemptID = "a9" }, 0),
		Entry("key passed on", "UNASKED", "/order/", func(f *fixture) { f.run.HasKey = true }, 0),
		Entry("other team", "UNASKED", "/order/", func(f *fixture) { f.run.Team = "smiths" }, 0),
		Entry("other path", "UNASKED", "/order/", func(f *fixture) { f.run.Target = "/order/other" }, 0),
		Entry("older configuration", "CONFIG", movingPrefix, func(f *fixture) {
			f.check.ledger.configs = []declared{{1, 0}, {2, 5 * time.Second}}
			f.run.Service = movingService(1)
		}, 0),
		Entry("older weights", "VERSION", "/once/", func(f *fixture) {
			f.check.ledger.weights = []declared{{2, 5 * time.Second}}
		}, 0),
		Entry("server that left", "DRAIN", "/order/", func(f *fixture) { f.check.ledger.left["x-1"] = 15 * time.Second }, 0),
		Entry("server that told so in an answer", "DRAIN", "/order/", func(f *fixture) {
			f.check.ledger.events = []serverEvent{{kind: eventLeaving, server: "x-1", attempt: "a1", at: 15 * time.Second}, {kind: eventArrived, server: "x-1", attempt: "a2", at: 25 * time.Second}}
			later := f.outcome
			later.call.AttemptID, later.sent = "a2", 25*time.Second
			f.others = []outcome{later}
		}, 0),
		Entry("server that wants a pause", "BUDGET", "/order/", func(f *fixture) {
			f.check.ledger.events = []serverEvent{{kind: eventPause, server: "x-1", attempt: "a1", at: 20 * time.Second, pause: 2 * time.Second}}
			for range 3 {
				f.check.ledger.events = append(f.check.ledger.events, serverEvent{kind: eventArrived, server: "x-1", attempt: "a1", at: 21 * time.Second})
			}
		}, 0),
		Entry("request that ends servers", "BUDGET", "/status/", func(f *fixture) {
			f.run.Body = poisonBody
			for i := range 7 {
				r := f.run
				r.StartedAt = r.StartedAt.Add(time.Duration(i*i) * time.Second)
				f.check.ledger.RunStarted(r)
			}
		}, 0),
		Entry("wrong pieces", "WHOLE", "/once/", func(f *fixture) { f.check.ledger.LoadOrdered("x-1", 2, false) }, 0),
	)

	It("excuse what faults have done", func() {
		f := newFixture("/once/")
		f.check.steps = []Step{{Kind: ServerLink, Start: 19 * time.Second, Duration: time.Second}}
		f.outcome.answer.Complete = false
		Expect(f.rules(f.run)).To(BeEmpty())
	})

	It("excuse nothing for planned work", func() {
		f := newFixture("/once/")
		f.check.steps = []Step{{Kind: StopEntry, Start: 19 * time.Second, Duration: time.Second}}
		f.outcome.answer.Complete = false
		Expect(f.rules(f.run)).To(ConsistOf("LOST"))
	})
})

var _ = Describe("Plan", func() {
	It("is the same for the same seed, and ends in time", func() {
		busy := 10 * time.Second
		for seed := range uint64(200) {
			steps := NewPlan(seed, busy)
			Expect(NewPlan(seed, busy)).To(Equal(steps))
			for _, s := range steps {
				Expect(s.Start).To(BeNumerically(">=", firstStep))
				Expect(s.Start + s.Duration).To(BeNumerically("<=", busy))
			}
		}
	})
})
