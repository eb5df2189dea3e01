package backend

import (
	"errors"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// checkState compares a state that was read while no order was outstanding with the
// live state.
func (m *Machine) checkState(s engine.State, err error) {
	if err != nil {
		m.failedReads++
		// An engine that refuses connections is down. One that does not respond in
		// time may only be busy with requests.
		if errors.Is(err, engine.ErrNotStarted) || m.failedReads >= m.cfg.MaxFailedReads {
			m.candidate = candidate{}
			m.clearLive()
		}
		return
	}
	m.failedReads = 0
	m.recordChecked = m.recordChecked || !s.Busy
	c := confirmedStateOf(s)
	if !m.live.weights.IsZero() {
		if !s.Busy && c == m.live {
			return
		}
		m.abort(s)
	}
	if s.Busy || s.Weights.IsZero() || m.superseded(s) {
		m.candidate = candidate{}
		return
	}
	switch {
	case c == m.previous:
		m.adopt(c)
	case !m.cfg.Recorded.matches(c):
		// What the engine has read is not known to be intact.
		m.candidate = candidate{}
	case m.candidate.confirmedState != c:
		m.candidate = candidate{confirmedState: c, since: m.now}
	case m.now.Sub(m.candidate.since) >= m.cfg.AdoptAfter:
		m.adopt(c)
	}
}

// checkStateDuringOrder aborts the running requests and clears the live weights if they or the incarnation changed
// during an order. An order other than a load changes the accepted fence but neither
// the weights nor the incarnation.
func (m *Machine) checkStateDuringOrder(s engine.State, err error) {
	if err == nil && (s.Incarnation != m.live.incarnation || s.Weights != m.live.weights) {
		m.abort(s)
	}
}

// adopt marks weights as live that were not just loaded by this agent: those that an
// engine kept while its agent restarted, or that an order left in place. Their load must
// be known to have been intact. During a quiesce only the wanted weights are adopted.
func (m *Machine) adopt(c confirmedState) {
	phase := m.Phase()
	if phase == wire.PhaseQuiescing && c.weights != m.wanted {
		return
	}
	m.setLive(c)
	if c.weights == m.wanted && phase != wire.PhaseLive {
		m.fire(triggerConfirmed)
	}
}

// mayAdopt reports whether the recorded weights may still be adopted.
func (m *Machine) mayAdopt() bool {
	if !m.live.weights.IsZero() || m.cfg.Recorded == (LoadRecord{}) {
		return false
	}
	return !m.recordChecked || !m.candidate.weights.IsZero()
}

// superseded reports whether the engine has accepted an order with a higher
// epoch than this agent's.
func (m *Machine) superseded(s engine.State) bool {
	epoch := m.guard.Fence().Epoch
	return epoch != 0 && s.Accepted.Epoch > epoch
}
