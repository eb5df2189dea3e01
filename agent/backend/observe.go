package backend

import (
	"errors"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// observe compares a state that was read outside of an order with what is live.
func (m *Machine) observe(s engine.State, err error) {
	if err != nil {
		m.missed++
		// An engine that refuses connections is down; one that is late may be
		// busy with requests.
		if errors.Is(err, engine.ErrNotStarted) || m.missed >= m.cfg.MaxFailedReads {
			m.candidate = candidate{}
			m.lose()
		}
		return
	}
	m.missed = 0
	c := confirmedBy(s)
	if !m.live.weights.IsZero() {
		if !s.Busy && c == m.live {
			return
		}
		m.lose()
	}
	if s.Busy || s.Weights.IsZero() || m.superseded(s) {
		m.candidate = candidate{}
		return
	}
	if m.candidate.confirmed != c {
		m.candidate = candidate{confirmed: c, since: m.now}
	}
	if c == m.previous || m.now.Sub(m.candidate.since) >= m.cfg.AdoptAfter {
		m.adopt(c)
	}
}

// compare ends live during an order other than a load, which changes the last
// order number but neither the weights nor the incarnation.
func (m *Machine) compare(s engine.State, err error) {
	if err == nil && (s.Incarnation != m.live.incarnation || s.Weights != m.live.weights) {
		m.lose()
	}
}

// adopt makes weights live that this agent did not load just now: those that an
// engine kept while its agent restarted, or that a failed order left in place.
// A quiesce goes on unless these are the wanted weights.
func (m *Machine) adopt(c confirmed) {
	phase := m.Phase()
	if phase == wire.PhaseQuiescing && c.weights != m.wanted {
		return
	}
	m.confirm(c)
	if c.weights == m.wanted && phase != wire.PhaseLive {
		m.fire(triggerConfirmed)
	}
}

// superseded reports whether another agent generation commands the engine.
func (m *Machine) superseded(s engine.State) bool {
	start := m.guard.Fence().Epoch
	return start != 0 && s.Accepted.Epoch > start
}
