package attempt

import (
	"github.com/auburnbend/auburnbend/lib/outcome"
)

func (m *Machine) onQueued() state {
	if !m.event.now.Before(m.req.Deadline) {
		return m.finish(outcome.ReasonDeadline, 0)
	}
	if m.Hop() >= m.config.MaxHops {
		return m.finish(outcome.ReasonHopLimit, 0)
	}
	m.step.Action = ActionDispatch
	return stateQueued
}

func (m *Machine) onNotAdmitted() state {
	return m.finish(m.event.reason, m.event.retryAfter)
}

func (m *Machine) onDispatched() state {
	if !m.event.now.Before(m.req.Deadline) {
		return m.finish(outcome.ReasonDeadline, 0)
	}
	if m.sent > 0 && m.event.dispatch.Weights != m.current.Weights {
		// Bytes of two versions of the weights never meet in one answer.
		return m.finish(outcome.ReasonWeightsMismatch, 0)
	}
	m.current = m.event.dispatch
	m.dispatched = m.event.now
	m.attempts++
	m.reattaches = 0
	m.replaying = false
	m.tried = append(m.tried, m.current.Instance)
	m.answer.restart(m.sent, m.sentSum)
	return stateDispatched
}

func (m *Machine) onRefused() state {
	if m.event.reason == outcome.ReasonDuplicate {
		// The agent knows the attempt id from before: this refusal proves nothing
		// about the first copy.
		return m.detach()
	}
	return m.again(!m.refusalProves(), m.event.reason, m.event.retryAfter)
}

// refusalProves reports whether the refusal proves that the attempt did not
// run. An agent that never saw the attempt may have forgotten it.
func (m *Machine) refusalProves() bool {
	if m.answer.next > 0 {
		return false
	}
	if m.event.reason != outcome.ReasonConnectionLost {
		return true
	}
	return m.event.now.Sub(m.dispatched) <= m.config.NotSeenMaxAge
}

func (m *Machine) onFrame() state {
	switch {
	case m.event.sequence < m.answer.next:
		return m.state
	case m.event.sequence > m.answer.next:
		if m.replaying || m.state == stateDetached {
			return m.state
		}
		return m.detach()
	}
	m.replaying = false
	step, ok := m.take(m.event.data)
	if !ok {
		return m.diverged()
	}
	m.step = step
	m.reattaches = 0
	if m.state == stateDetached {
		// The frame came over the old path; the reattach is still outstanding.
		return stateDetached
	}
	return stateStreaming
}

// take adds the next frame to the answer. It returns false when a continued
// stream differs from what the caller has.
func (m *Machine) take(data []byte) (Step, bool) {
	skip, ok := m.answer.add(data)
	if !ok {
		return Step{}, false
	}
	if !m.req.Buffered && m.answer.bytes > m.sent {
		m.sent = m.answer.bytes
	}
	return Step{Forward: true, SkipBytes: skip}, true
}

// diverged ends a request whose new attempt contradicts the bytes that the
// caller has.
func (m *Machine) diverged() state {
	m.mayHaveRun = true
	m.step.Cancel = m.current.Attempt
	return m.finish(outcome.ReasonIncomplete, 0)
}

func (m *Machine) onEnd() state {
	end := m.event.end
	if end.Outcome == outcome.NotRun && m.answer.next == 0 {
		return m.again(false, end.Reason, 0)
	}
	if end.Outcome != outcome.Completed && end.Outcome != outcome.Failed {
		return m.again(true, reasonOr(end.Reason, outcome.ReasonIncomplete), 0)
	}
	if end.Frames > m.answer.next {
		if m.replaying || m.state == stateDetached {
			return m.state
		}
		return m.detach()
	}
	if !m.answer.complete(end.Frames, end.Digest) {
		return m.again(true, outcome.ReasonIncomplete, 0)
	}
	m.step.Action = ActionFinish
	m.step.Outcome = end.Outcome
	m.step.Reason = end.Reason
	m.step.Status = end.Status
	m.step.ContentType = end.ContentType
	if end.Outcome == outcome.Completed {
		m.budget.success(m.req.Tenant, m.event.now)
	}
	return stateFinished
}

func (m *Machine) onConnectionLost() state { return m.detach() }

// detach asks for the rest of the answer over another connection.
func (m *Machine) detach() state {
	m.replaying = false
	if m.reattaches >= m.config.MaxReattach {
		return m.again(true, outcome.ReasonConnectionLost, 0)
	}
	m.reattaches++
	m.step.Action = ActionReattach
	m.step.Attempt = m.current.Attempt
	m.step.NextSequence = m.answer.next
	return stateDetached
}

func (m *Machine) onReattached() state {
	m.replaying = true
	if m.answer.next > 0 {
		return stateStreaming
	}
	return stateDispatched
}

// onReattachFailed answers the caller. A non-repeatable attempt may have run to
// its end, and its agent may come back: its result is still recorded.
func (m *Machine) onReattachFailed() state {
	if !m.req.Repeatable {
		m.mayHaveRun = true
		m.finish(outcome.ReasonConnectionLost, 0)
		m.step.OutcomePending = true
		return stateSettling
	}
	return m.again(true, outcome.ReasonConnectionLost, 0)
}

func (m *Machine) onServerCrashed() state {
	return m.again(true, outcome.ReasonBackendCrashed, 0)
}

func reasonOr(r, fallback outcome.Reason) outcome.Reason {
	if r == outcome.ReasonNone {
		return fallback
	}
	return r
}
