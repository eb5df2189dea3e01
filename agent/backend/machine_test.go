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

// TestMachine checks, with an engine that ignores fencing, crashes at any time and
// loses replies, that only weights that the engine reported and has read intact are
// served, that orders do not overlap, that the instance is quiesced during loads, and that the wanted version
// becomes live once the faults end.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		previousOrder := &engine.Order{Kind: engine.OrderLoad, Fence: engine.Fence{Epoch: 4, Sequence: 3}, Weights: version("new")}
		h.foreign = previousOrder
		switch rapid.IntRange(0, 4).Draw(t, "start") {
		case 1: // the engine outlived a previous agent, which did not record its load
			h.state.Weights, h.state.Accepted, h.corrupt = version("old"), engine.Fence{Epoch: 4, Sequence: 2}, true
		case 2: // an order of the previous agent is running
			h.inFlight = previousOrder
			h.deliver()
		case 3: // the engine has not yet received an order of the previous agent
			h.state.Weights, h.inFlight, h.replyLostAt = version("old"), previousOrder, h.now
			h.startMachine(backend.LoadRecord{Incarnation: 1, Weights: version("old")})
		case 4: // the engine outlived a previous agent, which recorded its load
			h.state.Weights, h.state.Accepted = version("old"), engine.Fence{Epoch: 4, Sequence: 2}
			h.startMachine(backend.LoadRecord{Incarnation: 1, Accepted: h.state.Accepted, Weights: version("old")})
		}
		rare := func(t *rapid.T, f func()) {
			if rapid.IntRange(0, 7).Draw(t, "rare") == 0 {
				f()
			}
		}
		read := func(t *rapid.T) {
			h.readState([]error{nil, nil, nil, nil, engine.ErrUnavailable, engine.ErrNotStarted}[rapid.IntRange(0, 5).Draw(t, "read")])
		}
		pass := func(t *rapid.T) {
			h.advanceTime(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
		}
		// With faults alone, few runs get past the first load.
		progress := func(*rapid.T) { h.completePending() }
		t.Repeat(map[string]func(*rapid.T){
			"": h.checkInvariants, "progress": progress, "progress more": progress, "progress once more": progress,
			"want": func(t *rapid.T) {
				rare(t, func() {
					h.m.SetWanted(h.now, version(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "version")))
					h.executeActions()
				})
			},
			"fetched": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					h.fetched(engine.ErrIncomplete)
					return
				}
				h.fetched(nil)
			},
			"late fetch": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "version")
				if f := (backend.StagedWeights{Weights: version(name)}); f.Weights != h.m.Wanted() {
					h.m.HandleFetched(h.now, f, nil)
					h.executeActions()
				}
			},
			"role": func(t *rapid.T) {
				rare(t, func() {
					_ = h.m.SubmitOrder(h.now, engine.Order{Kind: engine.OrderRole, Role: engine.RoleDecode})
					h.executeActions()
				})
			},
			"spoil":     func(t *rapid.T) { rare(t, func() { h.spoilt = true }) },
			"verified":  func(*rapid.T) { h.verified() },
			"permitted": func(t *rapid.T) { h.permitted(rapid.Bool().Draw(t, "granted")) },
			"quiesced":  func(*rapid.T) { h.quiesced() },
			"read":      read,
			"read more": read,
			"deliver":   func(*rapid.T) { h.deliver() },
			"finish":    func(t *rapid.T) { h.finish(rapid.IntRange(0, 3).Draw(t, "fails") > 0) },
			"reply":     func(*rapid.T) { h.reply(nil) },
			"lose":      func(t *rapid.T) { rare(t, func() { h.reply(engine.ErrMayHaveRun) }) },
			"refuse":    func(t *rapid.T) { rare(t, func() { h.reply(engine.ErrNotStarted) }) },
			"replace agent": func(t *rapid.T) {
				rare(t, func() {
					wanted := h.m.Wanted()
					h.replaceAgent()
					h.m.SetWanted(h.now, wanted)
					h.executeActions()
				})
			},
			"crash": func(t *rapid.T) { rare(t, h.crash) },
			"notice": func(t *rapid.T) {
				rare(t, func() {
					h.m.HandleCrash(h.now)
					h.executeActions()
				})
			},
			"pass":      pass,
			"pass more": pass,
		})
		h.runToCompletion()
		if want := h.m.Wanted(); !want.IsZero() && (h.served != want || h.state.Weights != want || h.m.Phase() != wire.PhaseLive) {
			t.Fatalf("wanted %s, but ended in phase %s serving %s, engine state %+v", want, h.m.Phase(), h.served, h.state)
		}
	})
}

// versionChange is a table entry: steps bring the machine to phase, in which the test
// changes the wanted version.
type versionChange struct {
	phase wire.Phase
	steps func(*harness)
}

var _ = Describe("Machine", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarness(GinkgoT())
		h.m.SetWanted(h.now, version("v1"))
		h.executeActions()
		h.runToCompletion()
		Expect(h.m.Phase()).To(Equal(wire.PhaseLive))
	})

	want := func(name string) {
		h.m.SetWanted(h.now, version(name))
		h.executeActions()
	}
	fetch := func(h *harness) { h.fetched(nil) }
	permit := func(h *harness) { fetch(h); h.permitted(true) }
	load := func(h *harness) { permit(h); h.quiesced(); h.readState(nil) }

	DescribeTable("makes a new wanted version live", func(c versionChange) {
		want("v2")
		c.steps(h)
		Expect(h.m.Phase()).To(Equal(c.phase))
		want("v3")
		h.runToCompletion()
		Expect(h.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(h.served).To(Equal(version("v3")))
	},
		Entry("while another one is fetched", versionChange{wire.PhaseFetching, func(*harness) {}}),
		Entry("while another one waits for its permit", versionChange{wire.PhaseVerified, fetch}),
		Entry("while the instance quiesces", versionChange{wire.PhaseQuiescing, permit}),
		Entry("while another one is loaded", versionChange{wire.PhaseLoading, load}),
	)

	DescribeTable("keeps the live version if it is wanted again", func(c versionChange) {
		want("v2")
		c.steps(h)
		Expect(h.m.Phase()).To(Equal(c.phase))
		want("v1")
		Expect(h.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(h.served).To(Equal(version("v1")))
		Expect(h.fetching).To(Equal(model.Weights{}))
	},
		Entry("while another one is fetched", versionChange{wire.PhaseFetching, func(*harness) {}}),
		Entry("while another one waits for its permit", versionChange{wire.PhaseVerified, fetch}),
		Entry("while the instance quiesces", versionChange{wire.PhaseQuiescing, permit}),
	)

	It("keeps the version that the engine has loaded if it is wanted again before the load is sent", func() {
		want("v2")
		permit(h)
		h.quiesced()
		Expect(h.m.Phase()).To(Equal(wire.PhaseLoading))
		want("v1")
		h.readState(nil)
		h.readState(nil)
		Expect(h.m.Phase()).To(Equal(wire.PhaseLive))
		Expect(h.served).To(Equal(version("v1")))
	})

	It("serves nothing after a crash until the engine's state is read again", func() {
		h.crash()
		h.m.HandleCrash(h.now)
		h.executeActions()
		Expect(h.served).To(Equal(model.Weights{}))
		h.runToCompletion()
		Expect(h.served).To(Equal(version("v1")))
	})

	It("detects weights that another agent's order loaded", func() {
		h.inFlight = &engine.Order{Kind: engine.OrderLoad, Fence: engine.Fence{Epoch: 1}, Weights: version("stray")}
		h.running, h.inFlight = h.inFlight, nil
		h.state.Accepted = h.running.Fence
		h.finish(true)
		h.advanceTime(time.Second)
		h.readState(nil)
		Expect(h.served).To(Equal(model.Weights{}))
		h.runToCompletion()
		Expect(h.served).To(Equal(version("v1")))
	})

	It("backs off exponentially after failures", func() {
		want("v2")
		var waits []time.Duration
		for range 8 {
			h.fetched(engine.ErrIncomplete)
			Expect(h.m.Phase()).To(Equal(wire.PhaseFailed))
			failed := h.now
			for h.m.Phase() == wire.PhaseFailed {
				h.advanceTime(100 * time.Millisecond)
				h.readState(nil)
			}
			waits = append(waits, h.now.Sub(failed))
		}
		Expect(waits[0]).To(BeNumerically("<=", 1100*time.Millisecond))
		Expect(waits[7]).To(And(BeNumerically(">=", 30*time.Second), BeNumerically("<=", 61*time.Second)))
	})
})
