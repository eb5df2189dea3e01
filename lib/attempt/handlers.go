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
	if m.forwardedBytes > 0 && m.event.dispatch.Weights != m.current.Weights {
		// A response never mixes bytes generated with different weights.
		return m.finish(outcome.ReasonWeightsMismatch, 0)
	}
	m.current = m.event.dispatch
	m.dispatchedAt, m.dispatchedBoot = m.event.now, m.config.BootClock.Now()
	m.attempts++
	m.reattaches = 0
	m.replaying = false
	m.triedInstances = append(m.triedInstances, m.current.Instance)
	m.response.reset(m.forwardedBytes, m.forwardedDigest)
	return stateDispatched
}

func (m *Machine) onRefused() state {
	if m.event.reason == outcome.ReasonDuplicate {
		// The agent has seen this attempt ID before: the refusal proves nothing
		// about the first copy of the message.
		return m.detach()
	}
	return m.retryOrFinish(!m.refusalProvesNotRun(), m.event.reason, m.event.retryAfter)
}

// refusalProvesNotRun reports whether the refusal proves that the attempt did
// not run. An agent that reports the attempt as never seen may have forgotten
// it.
func (m *Machine) refusalProvesNotRun() bool {
	if m.response.nextSequence > 0 {
		return false
	}
	if m.event.reason != outcome.ReasonConnectionLost {
		return true
	}
	age := max(m.event.now.Sub(m.dispatchedAt), m.config.BootClock.Now().Sub(m.dispatchedBoot))
	return age <= m.config.NotSeenMaxAge
}

func (m *Machine) onFrame() state {
	switch {
	case m.event.sequence < m.response.nextSequence:
		return m.state
	case m.event.sequence > m.response.nextSequence:
		if m.replaying || m.state == stateDetached {
			return m.state
		}
		return m.detach()
	}
	m.replaying = false
	step, ok := m.acceptFrame(m.event.data)
	if !ok {
		return m.finishDiverged()
	}
	m.step = step
	m.reattaches = 0
	if m.state == stateDetached {
		// The frame arrived over the previous connection; the reattach is still
		// pending.
		return stateDetached
	}
	return stateStreaming
}

// acceptFrame adds the next frame to the response. It returns false if a
// continued stream differs from the bytes that the caller already has.
func (m *Machine) acceptFrame(data []byte) (Step, bool) {
	skip, ok := m.response.add(data)
	if !ok {
		return Step{}, false
	}
	if !m.req.Buffered && m.response.bytes > m.forwardedBytes {
		m.forwardedBytes = m.response.bytes
	}
	return Step{Forward: true, SkipBytes: skip}, true
}

// finishDiverged ends a request whose new attempt differs from the bytes that
// the caller already has.
func (m *Machine) finishDiverged() state {
	m.mayHaveRun = true
	m.step.Cancel = m.current.Attempt
	return m.finish(outcome.ReasonIncomplete, 0)
}

func (m *Machine) onEnd() state {
	end := m.event.end
	if end.Outcome == outcome.NotRun && m.response.nextSequence == 0 {
		return m.retryOrFinish(false, end.Reason, 0)
	}
	if end.Outcome != outcome.Completed && end.Outcome != outcome.Failed {
		return m.retryOrFinish(true, reasonOr(end.Reason, outcome.ReasonIncomplete), 0)
	}
	if end.Frames > m.response.nextSequence {
		if m.replaying || m.state == stateDetached {
			return m.state
		}
		return m.detach()
	}
	if !m.response.complete(end.Frames, end.Digest) {
		return m.retryOrFinish(true, outcome.ReasonIncomplete, 0)
	}
	m.step.Action = ActionFinish
	m.step.Outcome = end.Outcome
	m.step.Reason = end.Reason
	m.step.Status = end.Status
	m.step.ContentType = end.ContentType
	if end.Outcome == outcome.Completed {
		m.budget.addSuccess(m.req.Tenant, m.event.now)
	}
	return stateFinished
}

func (m *Machine) onConnectionLost() state { return m.detach() }

// detach requests the rest of the response over another connection. Beyond
// Config.MaxReattach it ends the attempt instead.
func (m *Machine) detach() state {
	m.replaying = false
	if m.reattaches >= m.config.MaxReattach {
		return m.retryOrFinish(true, outcome.ReasonConnectionLost, 0)
	}
	m.reattaches++
	m.step.Action = ActionReattach
	m.step.Attempt = m.current.Attempt
	m.step.NextSequence = m.response.nextSequence
	return stateDetached
}

func (m *Machine) onReattached() state {
	m.replaying = true
	if m.response.nextSequence > 0 {
		return stateStreaming
	}
	return stateDispatched
}

// onReattachFailed ends the attempt. A non-repeatable attempt may have run to
// completion, and its agent may come back: the caller gets its response now,
// and the result is still recorded.
func (m *Machine) onReattachFailed() state {
	if !m.req.Repeatable {
		m.mayHaveRun = true
		m.finish(outcome.ReasonConnectionLost, 0)
		m.step.OutcomePending = true
		return stateOutcomePending
	}
	return m.retryOrFinish(true, outcome.ReasonConnectionLost, 0)
}

func (m *Machine) onServerCrashed() state {
	return m.retryOrFinish(true, outcome.ReasonBackendCrashed, 0)
}

func reasonOr(r, fallback outcome.Reason) outcome.Reason {
	if r == outcome.ReasonNone {
		return fallback
	}
	return r
}
