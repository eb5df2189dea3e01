package backend

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func (m *Machine) enterFetching() {
	m.staged, m.fetching = StagedWeights{Weights: m.wanted}, true
	m.reportPhase(wire.PhaseFetching, nil)
	m.emit(Action{Kind: ActionFetch, Weights: m.wanted})
}

// exitFetching cancels a fetch that has not ended. Verified chunks stay in the staging
// directory in case the version is wanted again.
func (m *Machine) exitFetching() {
	if m.fetching {
		m.fetching = false
		m.emit(Action{Kind: ActionCancelFetch, Weights: m.staged.Weights})
	}
}

func (m *Machine) enterVerified() {
	m.nextPermitAt, m.permitPending = time.Time{}, false
	m.reportPhase(wire.PhaseVerified, nil)
}

func (m *Machine) enterQuiescing() {
	m.quiesced = false
	m.reportPhase(wire.PhaseQuiescing, nil)
	m.emit(Action{Kind: ActionQuiesce})
}

// exitQuiescing admits requests again unless the load starts.
func (m *Machine) exitQuiescing(ctx context.Context) {
	if stateless.GetTransition(ctx).Destination != wire.PhaseLoading {
		m.serve()
	}
}

// enterLoading starts the load. No weights are live until the engine reports them after
// the load and its files have been verified again.
func (m *Machine) enterLoading() {
	m.live, m.candidate = confirmedState{}, candidate{}
	m.record(LoadRecord{})
	// If the engine accepted that order after this load, it would hold what this load read.
	m.cfg.Recorded.Ordered = engine.Fence{}
	m.serve()
	m.reportPhase(wire.PhaseLoading, nil)
	m.submitLoad()
}

func (m *Machine) enterLive() {
	m.failures = 0
	m.reportPhase(wire.PhaseLive, nil)
}

// enterFailed schedules the next attempt. The maximum wait doubles with each
// failure. The wait is chosen at random between half and all of it, so that instances
// that failed at the same time do not retry at the same time.
func (m *Machine) enterFailed() {
	wait := min(m.cfg.MinBackoff<<min(m.failures, 16), m.cfg.MaxBackoff)
	wait = wait/2 + time.Duration(m.random.Int63n(int64(wait/2)+1))
	m.failures++
	m.retryAt = m.now.Add(wait)
	m.reportPhase(wire.PhaseFailed, m.failure)
}
