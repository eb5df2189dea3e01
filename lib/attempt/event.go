package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// event holds the arguments of the event being handled.
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

// Queued reports that the entry has accepted the request and may dispatch it.
func (m *Machine) Queued(now time.Time) Step {
	return m.fire(triggerQueued, event{now: now})
}

// NotAdmitted reports that the entry did not dispatch the request because of
// its queue, claim or quarantine, or because no instance was available. Nothing
// was sent.
func (m *Machine) NotAdmitted(now time.Time, reason outcome.Reason, retryAfter time.Duration) Step {
	return m.fire(triggerNotAdmitted, event{now: now, reason: reason, retryAfter: retryAfter})
}

// Dispatched reports that the RequestStart is about to be sent. It must be
// called before the send, so that an attempt that may be in transit is never
// taken for one that was not sent. If the step is ActionFinish, which happens
// after the deadline or on a weights mismatch, the RequestStart must not be
// sent.
func (m *Machine) Dispatched(now time.Time, d Dispatch) Step {
	return m.fire(triggerDispatched, event{now: now, dispatch: d, attempt: d.Attempt})
}

// Refused reports a RequestRefused message.
func (m *Machine) Refused(now time.Time, attempt model.AttemptID, reason outcome.Reason, retryAfter time.Duration) Step {
	return m.fireIfCurrent(triggerRefused, event{now: now, attempt: attempt, reason: reason, retryAfter: retryAfter})
}

// Frame reports a ResponseFrame message.
func (m *Machine) Frame(now time.Time, attempt model.AttemptID, sequence uint64, data []byte) Step {
	if m.state == stateStreaming && attempt == m.current.Attempt && sequence == m.response.nextSequence && !m.response.inPrefix() {
		// Fast path: the next frame of a stream changes no state and cannot
		// diverge, and firing the state machine costs more than handling the frame.
		m.replaying = false
		step, _ := m.acceptFrame(data)
		return step
	}
	return m.fireIfCurrent(triggerFrame, event{now: now, attempt: attempt, sequence: sequence, data: data})
}

// End reports a ResponseEnd message.
func (m *Machine) End(now time.Time, end *wire.ResponseEnd) Step {
	return m.fireIfCurrent(triggerEnd, event{now: now, attempt: end.Attempt, end: end})
}

// ConnectionLost reports that the connection to the agent of the attempt is
// lost.
func (m *Machine) ConnectionLost(now time.Time, attempt model.AttemptID) Step {
	return m.fireIfCurrent(triggerConnectionLost, event{now: now, attempt: attempt})
}

// Reattached reports that Reattach was sent to the same generation of the
// agent.
func (m *Machine) Reattached(now time.Time, attempt model.AttemptID) Step {
	return m.fireIfCurrent(triggerReattached, event{now: now, attempt: attempt})
}

// ReattachFailed reports that no connection to the agent was established in
// time.
func (m *Machine) ReattachFailed(now time.Time, attempt model.AttemptID) Step {
	return m.fireIfCurrent(triggerReattachFailed, event{now: now, attempt: attempt})
}

// ServerCrashed reports that the backend server of the attempt crashed, or that
// its agent came back with another generation.
func (m *Machine) ServerCrashed(now time.Time, attempt model.AttemptID) Step {
	return m.fireIfCurrent(triggerServerCrashed, event{now: now, attempt: attempt})
}

// DeadlinePassed reports that the deadline of the request has passed.
func (m *Machine) DeadlinePassed(now time.Time) Step {
	return m.fire(triggerDeadline, event{now: now})
}

// EntryStopping reports that the entry stops before the deadline of the request.
func (m *Machine) EntryStopping(now time.Time) Step {
	return m.fire(triggerDeadline, event{now: now, reason: outcome.ReasonDraining})
}

// Canceled reports that the caller disconnected or canceled the request.
func (m *Machine) Canceled(now time.Time) Step {
	return m.fire(triggerCanceled, event{now: now})
}

// fireIfCurrent handles an event of the current attempt. Events of other
// attempts arrived late and are ignored.
func (m *Machine) fireIfCurrent(t trigger, e event) Step {
	if e.attempt != m.current.Attempt || m.current.Attempt == "" {
		return Step{}
	}
	return m.fire(t, e)
}
