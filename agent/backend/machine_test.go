package backend_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// TestMachine checks against the oracle, with engines that ignore fencing,
// crash at any time and lose replies, that weights are served only as the
// engine reported them, that no order overlaps another, that the instance is
// quiesced during orders, and that it ends live once the faults end.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		earlier := &engine.Order{Kind: engine.OrderLoad, Fence: engine.Fence{Epoch: 4, Sequence: 3}, Weights: version("new")}
		switch rapid.IntRange(0, 3).Draw(t, "start") {
		case 1: // an engine that outlived its agent
			w.state.Weights, w.state.Accepted = version("old"), engine.Fence{Epoch: 4, Sequence: 2}
		case 2: // an order of the earlier agent still runs
			w.inFlight = earlier
			w.deliver()
		case 3: // an order of the earlier agent is still unread
			w.state.Weights, w.inFlight, w.lostAt = version("old"), earlier, w.now
		}
		rare := func(t *rapid.T, f func()) {
			if rapid.IntRange(0, 7).Draw(t, "rare") == 0 {
				f()
			}
		}
		read := func(t *rapid.T) {
			w.readState([]error{nil, nil, nil, nil, engine.ErrUnavailable, engine.ErrNotStarted}[rapid.IntRange(0, 5).Draw(t, "read")])
		}
		pass := func(t *rapid.T) { w.pass(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond) }
		// Faults alone seldom get past the first load.
		progress := func(*rapid.T) { w.progress() }
		t.Repeat(map[string]func(*rapid.T){
			"": w.check, "progress": progress, "progress more": progress, "progress once more": progress,
			"want": func(t *rapid.T) {
				rare(t, func() {
					w.m.SetWanted(w.now, version(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "version")))
					w.drain()
				})
			},
			"fetched": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					w.fetched(engine.ErrIncomplete)
					return
				}
				w.fetched(nil)
			},
			"late fetch": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "version")
				if f := (backend.StagedWeights{Weights: version(name)}); f.Weights != w.m.Wanted() {
					w.m.HandleFetched(w.now, f, nil)
					w.drain()
				}
			},
			"role": func(t *rapid.T) {
				rare(t, func() {
					_ = w.m.SubmitOrder(w.now, engine.Order{Kind: engine.OrderRole, Role: engine.RoleDecode})
					w.drain()
				})
			},
			"permitted": func(t *rapid.T) { w.permitted(rapid.Bool().Draw(t, "granted")) },
			"quiesced":  func(*rapid.T) { w.quiesced() },
			"read":      read,
			"read more": read,
			"deliver":   func(*rapid.T) { w.deliver() },
			"finish":    func(t *rapid.T) { w.finish(rapid.IntRange(0, 3).Draw(t, "fails") > 0) },
			"reply":     func(*rapid.T) { w.reply(nil) },
			"lose":      func(t *rapid.T) { rare(t, func() { w.reply(engine.ErrMayHaveRun) }) },
			"refuse":    func(t *rapid.T) { rare(t, func() { w.reply(engine.ErrNotStarted) }) },
			"crash":     func(t *rapid.T) { rare(t, w.crash) },
			"notice": func(t *rapid.T) {
				rare(t, func() {
					w.m.HandleCrash(w.now)
					w.drain()
				})
			},
			"pass":      pass,
			"pass more": pass,
		})
		w.cooperate()
		if want := w.m.Wanted(); !want.IsZero() && (w.served != want || w.state.Weights != want || w.m.Phase() != wire.PhaseLive) {
			t.Fatalf("wanted %s, ends in phase %s serving %s, engine %+v", want, w.m.Phase(), w.served, w.state)
		}
	})
}

// replacement changes the wanted version in one phase.
type replacement struct {
	phase wire.Phase
	steps func(*world)
}

var _ = Describe("Machine", func() {
	var w *world

	BeforeEach(func() {
		w = newWorld(GinkgoT())
		w.m.SetWanted(w.now, version("v1"))
		w.drain()
		w.cooperate()
		Expect(w.m.Phase()).To(Equal(wire.PhaseLive))
	})

	want := func(name string) {
		w.m.SetWanted(w.now, version(name))
		w.drain()
	}
	fetch := func(w *world) { w.fetched(nil) }
	permit := func(w *world) { fetch(w); w.permitted(true) }
	load := func(w *world) { permit(w); w.quiesced(); w.readState(nil) }

	DescribeTable("follows a version that changes", func(r replacement) {
		want("v2")
		r.steps(w)
		Expect(w.m.Phase()).To(Equal(r.phase))
		want("v3")
		w.cooperate()
		Expect(w.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(w.served).To(Equal(version("v3")))
	},
		Entry("while it is fetched", replacement{wire.PhaseFetching, func(*world) {}}),
		Entry("while it waits for its permit", replacement{wire.PhaseVerified, fetch}),
		Entry("while requests run out", replacement{wire.PhaseQuiescing, permit}),
		Entry("while it is loaded", replacement{wire.PhaseLoading, load}),
	)

	DescribeTable("keeps what is live when a version changes back", func(r replacement) {
		want("v2")
		r.steps(w)
		Expect(w.m.Phase()).To(Equal(r.phase))
		want("v1")
		Expect(w.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(w.served).To(Equal(version("v1")))
		Expect(w.fetching).To(Equal(model.Weights{}))
	},
		Entry("while it is fetched", replacement{wire.PhaseFetching, func(*world) {}}),
		Entry("while it waits for its permit", replacement{wire.PhaseVerified, fetch}),
		Entry("while requests run out", replacement{wire.PhaseQuiescing, permit}),
	)

	It("returns to what the engine kept when the order was not sent", func() {
		want("v2")
		permit(w)
		w.quiesced()
		Expect(w.m.Phase()).To(Equal(wire.PhaseLoading))
		want("v1")
		w.readState(nil)
		w.readState(nil)
		Expect(w.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(w.served).To(Equal(version("v1")))
	})

	It("serves nothing after a crash until the engine was read again", func() {
		w.crash()
		w.m.HandleCrash(w.now)
		w.drain()
		Expect(w.served).To(Equal(model.Weights{}))
		w.cooperate()
		Expect(w.served).To(Equal(version("v1")))
	})

	It("notices weights that another order brought", func() {
		w.inFlight = &engine.Order{Kind: engine.OrderLoad, Fence: engine.Fence{Epoch: 1}, Weights: version("stray")}
		w.running, w.inFlight = w.inFlight, nil
		w.state.Accepted = w.running.Fence
		w.finish(true)
		w.pass(time.Second)
		w.readState(nil)
		Expect(w.served).To(Equal(model.Weights{}))
		w.cooperate()
		Expect(w.served).To(Equal(version("v1")))
	})

	It("backs off after failures", func() {
		want("v2")
		var waits []time.Duration
		for range 8 {
			w.fetched(engine.ErrIncomplete)
			Expect(w.m.Phase()).To(Equal(wire.PhaseFailed))
			failed := w.now
			for w.m.Phase() == wire.PhaseFailed {
				w.pass(100 * time.Millisecond)
				w.readState(nil)
			}
			waits = append(waits, w.now.Sub(failed))
		}
		Expect(waits[0]).To(BeNumerically("<=", 1100*time.Millisecond))
		Expect(waits[7]).To(And(BeNumerically(">=", 30*time.Second), BeNumerically("<=", 61*time.Second)))
	})
})
