package engine_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	standin "github.com/auburnbend/auburnbend/standin/engine"
)

var _ = Describe("Guard with an engine stand-in", func() {
	DescribeTable("resolves a lost reply from the engine's state", func(cfg standin.Config) {
		server, client, guard, _ := startLoaded(cfg, "v1")
		server.SetFaults(standin.Faults{DropReplies: 1})
		staged, content := stageFiles("v2", 4)
		result := runOrder(client, guard, engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v2"), Base: staged})
		Expect(result.Err).NotTo(HaveOccurred())
		Expect(server.LoadedDigest()).To(Equal(content))
		maxConcurrent, outdated := server.OrderStats()
		Expect(maxConcurrent).To(Equal(1))
		Expect(outdated).To(Equal(0))
		Expect(server.AcceptedOrders()).To(HaveLen(2))
	},
		Entry("from an engine that checks fencing", standin.Config{}),
		Entry("from an engine that ignores fencing", standin.Config{IgnoreFencing: true}),
	)

	It("reports a crash in the middle of a load", func() {
		server, client, guard, _ := startLoaded(standin.Config{RestartDelay: time.Second}, "v1")
		server.SetFaults(standin.Faults{CrashLoads: 1})
		staged, _ := stageFiles("v2", 4)
		result := runOrder(client, guard, engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v2"), Base: staged})
		Expect(errors.Is(result.Err, engine.ErrOrderLost)).To(BeTrue())
		Expect(result.State.Weights.IsZero()).To(BeTrue())
	})

	// Guards against loading a version that was replaced while its order waited,
	// and against sending an order before the previous one is resolved.
	It("withdraws an unsent order and resolves a sent one", func() {
		server, client, guard, _ := startLoaded(standin.Config{LoadTime: 10 * time.Second}, "v1")
		staged, _ := stageFiles("v2", 4)
		other, content := stageFiles("v3", 4)
		load := engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v2"), Base: staged}
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := engine.RunOrder(canceled, clock.System{}, client, guard, load)
		Expect(err).To(MatchError(context.Canceled))
		Expect(guard.Outstanding()).To(BeFalse())

		short, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		_, err = engine.RunOrder(short, clock.System{}, client, guard, load)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(guard.Outstanding()).To(BeTrue())
		result := runOrder(client, guard, engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v3"), Base: other})
		Expect(result.Err).NotTo(HaveOccurred())
		Expect(server.LoadedDigest()).To(Equal(content))
		maxConcurrent, _ := server.OrderStats()
		Expect(maxConcurrent).To(Equal(1))
	})

	It("stops an older agent generation with ErrSuperseded", func() {
		_, client, old, _ := startLoaded(standin.Config{IgnoreFencing: true}, "v1")
		staged, _ := stageFiles("v2", 4)
		load := engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v2"), Base: staged}
		next := engine.NewGuard(engine.GuardConfig{Epoch: old.Fence().Epoch + 1})
		Expect(runOrder(client, next, load).Err).NotTo(HaveOccurred())
		Expect(errors.Is(runOrder(client, old, load).Err, engine.ErrSuperseded)).To(BeTrue())
	})

	It("relies on an engine that checks fencing to refuse an outdated fencing number", func() {
		_, client, _, _ := startLoaded(standin.Config{}, "v1")
		_, err := client.Order(context.Background(), engine.Order{Kind: engine.OrderRole, Role: engine.RoleDecode})
		refused, ok := engine.AsRefused(err)
		Expect(ok).To(BeTrue())
		Expect(refused.Reason).To(Equal(engine.RefusalFenced))
	})
})

// newLostOrder returns a guard whose order was sent at the given time and whose reply was
// lost, and the state that the engine reported before.
func newLostOrder(now time.Time) (*engine.Guard, engine.State) {
	g := engine.NewGuard(engine.GuardConfig{Epoch: 2, EnforcesFencing: true, SettleTime: 3 * time.Second})
	prior := engine.State{Incarnation: 1, Accepted: engine.Fence{Epoch: 1, Sequence: 1}, Weights: weightsOf("v1")}
	Expect(g.Submit(engine.Order{Kind: engine.OrderLoad, Weights: weightsOf("v2")})).To(Succeed())
	Expect(g.Next(now).Kind).To(Equal(engine.StepReadState))
	g.OnState(now, prior, nil)
	Expect(g.Next(now).Kind).To(Equal(engine.StepSend))
	g.OnReply(now, engine.Reply{}, engine.ErrMayHaveRun)
	return g, prior
}

var _ = Describe("Guard", func() {
	start := time.Unix(1_700_000_000, 0)

	// Guards against an order that a frozen engine still has in its socket when it
	// resumes, after the order was considered lost.
	DescribeTable("counts the settle time of a lost order only while the engine responds", func(readTime time.Duration, errs ...error) {
		g, prior := newLostOrder(start)
		now := start.Add(time.Second)
		for _, err := range errs {
			Expect(g.Next(now).Kind).To(Equal(engine.StepReadState))
			now = now.Add(readTime)
			g.OnState(now, prior, err)
			if err == nil {
				break
			}
			now = now.Add(time.Second)
		}
		resumed := now
		for {
			step := g.Next(now)
			if step.Kind == engine.StepDone {
				Expect(step.Result.Err).To(MatchError(engine.ErrOrderLost))
				break
			}
			if step.Kind == engine.StepWait {
				now = step.Until
				continue
			}
			g.OnState(now, prior, nil)
		}
		Expect(now.Sub(resumed)).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<", 4*time.Second)))
	},
		Entry("after reads that failed", 2*time.Second, engine.ErrUnavailable, engine.ErrUnavailable, engine.ErrUnavailable, nil),
		Entry("after one read that took long", 1900*time.Millisecond, nil),
	)

	It("needs no further settle time while the engine responds", func() {
		g, prior := newLostOrder(start)
		now := start
		for now.Before(start.Add(3500 * time.Millisecond)) {
			switch step := g.Next(now); step.Kind {
			case engine.StepReadState:
				now = now.Add(50 * time.Millisecond)
				g.OnState(now, prior, nil)
			case engine.StepWait:
				now = step.Until
			case engine.StepDone:
				Expect(now.Sub(start)).To(BeNumerically(">=", 3*time.Second))
				return
			}
		}
		Fail("order is not considered lost after its settle time")
	})
})

// engineModel is an engine that ignores fencing, behind a network that loses replies
// and delivers orders late.
type engineModel struct {
	// frozen is true while the engine is stopped: it answers nothing, and an order in its
	// socket stays there.
	frozen    bool
	state     engine.State
	running   *engine.Order
	inFlight  *engine.Order
	sent, ran int
	lastRead  engine.State
}

func (m *engineModel) deliver() {
	if m.inFlight != nil && !m.frozen {
		m.running, m.inFlight = m.inFlight, nil
		m.state.Accepted, m.state.Busy, m.state.Weights = m.running.Fence, true, model.Weights{}
	}
}

// finish ends the running order. An order that fails leaves nothing loaded and, as
// with some engines, reports no failure.
func (m *engineModel) finish(fails bool) {
	if m.running == nil || m.frozen {
		return
	}
	m.state.Busy = false
	if !fails {
		m.state.Weights = m.running.Weights
	}
	m.running = nil
	m.ran++
}

// TestGuard checks, with an engine that may be frozen at any time, that no order is sent
// while an earlier one is running or in flight, and that a successful order is confirmed by the engine's state.
func TestGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const settle = 3 * time.Second
		now := time.Unix(1_700_000_000, 0)
		g := engine.NewGuard(engine.GuardConfig{SettleTime: settle})
		var lostAt time.Time
		m := &engineModel{state: engine.State{Incarnation: 1}}
		if rapid.Bool().Draw(t, "order of an earlier agent") {
			m.inFlight, m.sent, lostAt = &engine.Order{Fence: engine.Fence{Epoch: 7, Sequence: 3}, Weights: weightsOf("old")}, 1, now
			if rapid.Bool().Draw(t, "read already") {
				m.deliver()
			}
		}
		versions := []string{"a", "b", "c"}
		step := func(t *rapid.T) {
			switch step := g.Next(now); step.Kind {
			case engine.StepReadState:
				if m.frozen || rapid.Bool().Draw(t, "state lost") {
					g.OnState(now, engine.State{}, engine.ErrUnavailable)
					return
				}
				m.lastRead = m.state
				g.OnState(now, m.state, nil)
			case engine.StepSend:
				if m.running != nil || m.inFlight != nil {
					t.Fatalf("order %s sent while another one is running or in flight", step.Order.Fence)
				}
				m.sent++
				o := step.Order
				send := rapid.IntRange(0, 3).Draw(t, "send")
				if m.frozen {
					send = 1
				}
				switch send {
				case 0:
					g.OnReply(now, engine.Reply{}, engine.ErrNotStarted)
				case 1: // reply lost, order may arrive late
					m.inFlight, lostAt = &o, now
					g.OnReply(now, engine.Reply{}, engine.ErrMayHaveRun)
				case 2: // order never arrives
					g.OnReply(now, engine.Reply{}, engine.ErrMayHaveRun)
				case 3:
					m.inFlight = &o
					m.deliver()
					m.finish(rapid.IntRange(0, 4).Draw(t, "fails") == 0)
					g.OnReply(now, engine.Reply{}, nil)
				}
			case engine.StepDone:
				if step.Result.Err == nil && (m.lastRead.Busy || m.lastRead.Weights != step.Result.Order.Weights) {
					t.Fatalf("order for %s succeeded, but engine reported %s", step.Result.Order.Weights, m.lastRead.Weights)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": step, "step again": step, "step once more": step,
			"submit": func(t *rapid.T) {
				err := g.Submit(engine.Order{Kind: engine.OrderLoad, Weights: weightsOf(rapid.SampledFrom(versions).Draw(t, "version"))})
				if (err == nil) == errors.Is(err, engine.ErrOrderOutstanding) {
					t.Fatalf("Submit returned unexpected error: %v", err)
				}
			},
			"withdraw": func(*rapid.T) { g.Withdraw() },
			"deliver":  func(*rapid.T) { m.deliver() },
			"finish":   func(t *rapid.T) { m.finish(rapid.IntRange(0, 4).Draw(t, "fails") == 0) },
			// A shorter stop may pass unnoticed and leaves half of the settle time.
			"freeze": func(t *rapid.T) {
				m.frozen = true
				for range rapid.IntRange(2, 5).Draw(t, "seconds") {
					step(t)
					now, lostAt = now.Add(time.Second), lostAt.Add(time.Second)
				}
				m.frozen = false
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") > 0 {
					return
				}
				m.running, m.inFlight = nil, nil
				m.state = engine.State{Incarnation: m.state.Incarnation + 1}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
				// An order that was not read within the settle time is lost with
				// its connection.
				if m.inFlight != nil && now.Sub(lostAt) >= settle {
					m.inFlight = nil
				}
			},
		})
		if m.ran > m.sent {
			t.Fatalf("%d orders ran, but only %d were sent", m.ran, m.sent)
		}
	})
}
