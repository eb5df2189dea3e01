package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// event holds the arguments of the event that is being handled.
type event struct {
	now        time.Time
	attempt    model.AttemptID
	dispatch   Dispatch
	reason     outcome.Reason
	retryAfter time.Duration
	sequence   uint64
	data       []byte
	end        *wire.ResponseEnd
}

// Queued starts the request: the entry has accepted it and may dispatch it.
func (m *Machine) Queued(now time.Time) Step {
	return m.fire(triggerQueued, event{now: now})
}

// NotAdmitted reports that the entry itself refused to dispatch: queue, claim,
// quarantine, or no instance to pick. Nothing was sent for it.
func (m *Machine) NotAdmitted(now time.Time, reason outcome.Reason, retryAfter time.Duration) Step {
	return m.fire(triggerNotAdmitted, event{now: now, reason: reason, retryAfter: retryAfter})
}

// Dispatched reports that the RequestStart is about to be sent. It is called
// before the send, so that an attempt that may be on its way is never taken for
// one that was not sent. When the step is a finish (the deadline has passed),
// the RequestStart must not be sent.
func (m *Machine) Dispatched(now time.Time, d Dispatch) Step {
	return m.fire(triggerDispatched, event{now: now, dispatch: d, attempt: d.Attempt})
}

// Refused reports a RequestRefused.
func (m *Machine) Refused(now time.Time, attempt model.AttemptID, reason outcome.Reason, retryAfter time.Duration) Step {
	return m.fireFor(triggerRefused, event{now: now, attempt: attempt, reason: reason, retryAfter: retryAfter})
}

// Frame reports a ResponseFrame.
func (m *Machine) Frame(now time.Time, attempt model.AttemptID, sequence uint64, data []byte) Step {
	if m.state == stateStreaming && attempt == m.current.Attempt && sequence == m.answer.next && !m.answer.inPrefix() {
		// The common case changes no state and cannot diverge: a firing would cost
		// more than the frame.
		m.replaying = false
		step, _ := m.take(data)
		return step
	}
	return m.fireFor(triggerFrame, event{now: now, attempt: attempt, sequence: sequence, data: data})
}

// End reports a ResponseEnd.
func (m *Machine) End(now time.Time, end *wire.ResponseEnd) Step {
	return m.fireFor(triggerEnd, event{now: now, attempt: end.Attempt, end: end})
}

// ConnectionLost reports that the connection to the attempt's agent is dead.
func (m *Machine) ConnectionLost(now time.Time, attempt model.AttemptID) Step {
	return m.fireFor(triggerConnectionLost, event{now: now, attempt: attempt})
}

// Reattached reports that Reattach was sent to the same generation of the agent.
func (m *Machine) Reattached(now time.Time, attempt model.AttemptID) Step {
	return m.fireFor(triggerReattached, event{now: now, attempt: attempt})
}

// ReattachFailed reports that no connection to the agent came about in time.
func (m *Machine) ReattachFailed(now time.Time, attempt model.AttemptID) Step {
	return m.fireFor(triggerReattachFailed, event{now: now, attempt: attempt})
}

// ServerCrashed reports that the attempt's backend server died, or that its
// agent came back with another generation.
func (m *Machine) ServerCrashed(now time.Time, attempt model.AttemptID) Step {
	return m.fireFor(triggerServerCrashed, event{now: now, attempt: attempt})
}

// DeadlinePassed reports that the deadline has passed.
func (m *Machine) DeadlinePassed(now time.Time) Step {
	return m.fire(triggerDeadline, event{now: now})
}

// Canceled reports that the caller has gone or withdrew the request.
func (m *Machine) Canceled(now time.Time) Step {
	return m.fire(triggerCanceled, event{now: now})
}

// fireFor drops events of attempts other than the current one: they are late.
func (m *Machine) fireFor(t trigger, e event) Step {
	if e.attempt != m.current.Attempt || m.current.Attempt == "" {
		return Step{}
	}
	return m.fire(t, e)
}
