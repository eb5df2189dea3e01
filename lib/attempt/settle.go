package attempt

import "github.com/auburnbend/auburnbend/lib/outcome"

func (m *Machine) onDeadline() state { return m.giveUp(outcome.ReasonDeadline) }

func (m *Machine) onCanceled() state { return m.giveUp(outcome.ReasonCanceled) }

// giveUp answers the caller at once. A repeatable attempt is cancelled; a
// non-repeatable one is left to run, and its result is recorded.
func (m *Machine) giveUp(reason outcome.Reason) state {
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
	return stateSettling
}

func (m *Machine) settleRefused() state {
	if m.event.reason == outcome.ReasonDuplicate {
		return stateSettling
	}
	m.step.Action = ActionRecord
	m.step.Reason = m.event.reason
	m.step.Outcome = outcome.Unknown
	if m.refusalProves() {
		m.step.Outcome = outcome.NotRun
	}
	return stateFinished
}

func (m *Machine) settleFrame() state {
	if m.event.sequence == m.answer.next {
		m.replaying = false
		_, ok := m.answer.add(m.event.data)
		m.step.Forward = ok
	}
	return stateSettling
}

func (m *Machine) settleEnd() state {
	end := m.event.end
	if end.Frames > m.answer.next && m.replaying {
		return stateSettling
	}
	m.step.Action = ActionRecord
	m.step.Reason = end.Reason
	m.step.Outcome = outcome.Unknown
	ended := end.Outcome == outcome.Completed || end.Outcome == outcome.Failed
	switch {
	case ended && m.answer.complete(end.Frames, end.Digest):
		m.step.Outcome, m.step.Status, m.step.ContentType = end.Outcome, end.Status, end.ContentType
	case end.Outcome == outcome.NotRun && m.answer.next == 0:
		m.step.Outcome = outcome.NotRun
	default:
		m.step.Reason = reasonOr(end.Reason, outcome.ReasonIncomplete)
	}
	return stateFinished
}

func (m *Machine) settleLost() state {
	if m.reattaches >= m.config.MaxReattach {
		return m.settleUnknown()
	}
	m.reattaches++
	m.step.Action = ActionReattach
	m.step.Attempt, m.step.NextSequence = m.current.Attempt, m.answer.next
	return stateSettling
}

func (m *Machine) settleReattached() state {
	m.replaying = true
	return stateSettling
}

func (m *Machine) settleUnknown() state {
	m.step.Action = ActionRecord
	m.step.Outcome = outcome.Unknown
	m.step.Reason = outcome.ReasonConnectionLost
	return stateFinished
}
