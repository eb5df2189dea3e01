package backend

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func (m *Machine) enterFetching() {
	m.fetched, m.fetching = StagedWeights{Weights: m.wanted}, true
	m.report(wire.PhaseFetching, nil)
	m.act(Action{Kind: ActionFetch, Weights: m.wanted})
}

// exitFetching ends a fetch that has no result yet. Chunks that are verified
// stay in the staging area for the case that the version changes back.
func (m *Machine) exitFetching() {
	if m.fetching {
		m.fetching = false
		m.act(Action{Kind: ActionCancelFetch, Weights: m.fetched.Weights})
	}
}

func (m *Machine) enterVerified() {
	m.permitAt, m.permitting = time.Time{}, false
	m.report(wire.PhaseVerified, nil)
}

func (m *Machine) enterQuiescing() {
	m.quiesced = false
	m.report(wire.PhaseQuiescing, nil)
	m.act(Action{Kind: ActionQuiesce})
}

// exitQuiescing admits requests again unless the load begins.
func (m *Machine) exitQuiescing(ctx context.Context) {
	if stateless.GetTransition(ctx).Destination != wire.PhaseLoading {
		m.serve()
	}
}

// enterLoading gives the order. Nothing is live from here on until the engine
// reports weights after it.
func (m *Machine) enterLoading() {
	m.live, m.candidate = confirmed{}, candidate{}
	m.serve()
	m.report(wire.PhaseLoading, nil)
	err := m.guard.Submit(engine.Order{
		Kind: engine.OrderLoad, Weights: m.fetched.Weights, Base: m.fetched.Base, Adapter: m.fetched.Adapter,
	})
	if err != nil {
		panic(err) // advance enters this phase only when no order is outstanding
	}
}

func (m *Machine) enterLive() {
	m.failures = 0
	m.report(wire.PhaseLive, nil)
}

// enterFailed waits before the next attempt. The wait doubles with each failure
// and is spread over its second half, so that instances that failed together
// do not return together.
func (m *Machine) enterFailed() {
	wait := min(m.cfg.MinBackoff<<min(m.failures, 16), m.cfg.MaxBackoff)
	wait = wait/2 + time.Duration(m.random.Int63n(int64(wait/2)+1))
	m.failures++
	m.retryAt = m.now.Add(wait)
	m.report(wire.PhaseFailed, m.failure)
}
