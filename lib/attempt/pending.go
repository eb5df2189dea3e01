package attempt

import "github.com/auburnbend/auburnbend/lib/outcome"

func (m *Machine) onDeadline() state {
	return m.finishEarly(reasonOr(m.event.reason, outcome.ReasonDeadline))
}

func (m *Machine) onCanceled() state { return m.finishEarly(outcome.ReasonCanceled) }

// finishEarly ends the caller's request immediately. A repeatable attempt is
// canceled; a non-repeatable one continues to run and its result is recorded.
func (m *Machine) finishEarly(reason outcome.Reason) state {
	outstanding := m.state != stateNew && m.state != stateQueued
	m.mayHaveRun = m.mayHaveRun || outstanding
	next := m.finish(reason, 0)
	if !outstanding {
		return next
	}
	if m.req.Repeatable {
		m.step.Cancel = m.current.Attempt
		return next
	}
	m.step.OutcomePending = true
	return stateOutcomePending
}

func (m *Machine) pendingRefused() state {
	if m.event.reason == outcome.ReasonDuplicate {
		return stateOutcomePending
	}
	m.step.Action = ActionRecord
	m.step.Reason = m.event.reason
	m.step.Outcome = outcome.Unknown
	if m.refusalProvesNotRun() {
		m.step.Outcome = outcome.NotRun
	}
	return stateFinished
}

func (m *Machine) pendingFrame() state {
	if m.event.sequence == m.response.nextSequence {
		m.replaying = false
		_, ok := m.response.add(m.event.data)
		m.step.Forward = ok
	}
	return stateOutcomePending
}

func (m *Machine) pendingEnd() state {
	end := m.event.end
	if end.Frames > m.response.nextSequence && m.replaying {
		return stateOutcomePending
	}
	m.step.Action = ActionRecord
	m.step.Reason = end.Reason
	m.step.Outcome = outcome.Unknown
	ended := end.Outcome == outcome.Completed || end.Outcome == outcome.Failed
	switch {
	case ended && m.response.complete(end.Frames, end.Digest):
		m.step.Outcome, m.step.Status, m.step.ContentType = end.Outcome, end.Status, end.ContentType
	case end.Outcome == outcome.NotRun && m.response.nextSequence == 0:
		m.step.Outcome = outcome.NotRun
	default:
		m.step.Reason = reasonOr(end.Reason, outcome.ReasonIncomplete)
	}
	return stateFinished
}

func (m *Machine) pendingConnectionLost() state {
	if m.reattaches >= m.config.MaxReattach {
		return m.recordUnknown()
	}
	m.reattaches++
	m.step.Action = ActionReattach
	m.step.Attempt, m.step.NextSequence = m.current.Attempt, m.response.nextSequence
	return stateOutcomePending
}

func (m *Machine) pendingReattached() state {
	m.replaying = true
	return stateOutcomePending
}

func (m *Machine) recordUnknown() state {
	m.step.Action = ActionRecord
	m.step.Outcome = outcome.Unknown
	m.step.Reason = outcome.ReasonConnectionLost
	return stateFinished
}
