package attempt

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Machine is the state machine of one request at one entry.
type Machine struct {
	config Config
	req    Request
	budget *Budget
	state  state
	event  event
	step   Step
	firing firing

	current        Dispatch
	dispatchedAt   time.Time // send time of the current attempt
	dispatchedBoot time.Time // the same on BootClock
	attempts       int
	reattaches     int
	triedInstances []model.InstanceID
	// mayHaveRun is set once any attempt may have run. From then on the request
	// cannot end as NotRun, whatever later attempts return.
	mayHaveRun bool
	// replaying is set after a reattach until the next expected frame arrives;
	// later frames are ignored meanwhile.
	replaying bool

	response        response
	forwardedBytes  int64 // bytes of the response forwarded to the caller
	forwardedDigest model.Digest
}

// New returns the machine of a request that has not been dispatched. A nil
// budget allows every retry.
func New(config Config, req Request, budget *Budget) *Machine {
	m := &Machine{config: config.applyDefaults(), req: req, budget: budget}
	m.firing = firing{Context: context.Background(), machine: m}
	return m
}

// Attempt returns the ID of the current or last attempt.
func (m *Machine) Attempt() model.AttemptID { return m.current.Attempt }

// TriedInstances returns the instances of earlier attempts, which a retry
// should avoid.
func (m *Machine) TriedInstances() []model.InstanceID { return m.triedInstances }

// Hop returns the hop count for the next RequestStart.
func (m *Machine) Hop() int { return m.req.Hop + m.attempts }

// NextSequence returns the sequence number of the next expected frame, which is
// also the number that ResponseAck carries.
func (m *Machine) NextSequence() uint64 { return m.response.nextSequence }

// Remaining returns the time until the deadline, for RequestStart.
func (m *Machine) Remaining(now time.Time) time.Duration { return m.req.Deadline.Sub(now) }

// Done reports whether the request is finished and all further events are
// ignored.
func (m *Machine) Done() bool { return m.state == stateFinished }

func (m *Machine) fire(t trigger, e event) Step {
	m.event, m.step = e, Step{}
	// Triggers that do not apply to the state are ignored, and handlers return no
	// errors.
	_ = transitions.FireCtx(&m.firing, t)
	m.event = event{}
	return m.step
}

// finish ends the request. The outcome depends on whether any attempt may have
// run.
func (m *Machine) finish(reason outcome.Reason, retryAfter time.Duration) state {
	m.step.Action = ActionFinish
	m.step.Reason = reason
	m.step.Outcome = outcome.NotRun
	if m.mayHaveRun {
		m.step.Outcome = outcome.Unknown
	}
	if retryAfter <= 0 && advisesRetry(reason) {
		retryAfter = m.config.RetryAfter
	}
	m.step.RetryAfter = retryAfter
	return stateFinished
}

// retryOrFinish decides whether to retry after an attempt without a complete
// response. ran indicates that this attempt may have run.
func (m *Machine) retryOrFinish(ran bool, reason outcome.Reason, retryAfter time.Duration) state {
	m.mayHaveRun = m.mayHaveRun || ran
	if m.forwardedBytes > 0 && m.response.bytes == m.forwardedBytes {
		m.forwardedDigest = m.response.sum()
	}
	if ran && m.req.Repeatable {
		m.step.Cancel = m.current.Attempt
	}
	if m.forwardedBytes == 0 && m.req.Buffered {
		m.step.Discard = true
	}
	switch {
	case m.mayHaveRun && !m.req.Repeatable:
		return m.finish(reason, retryAfter)
	case m.forwardedBytes > 0 && !m.req.Continue:
		return m.finish(outcome.ReasonIncomplete, retryAfter)
	case !m.event.now.Before(m.req.Deadline):
		return m.finish(outcome.ReasonDeadline, retryAfter)
	case !retryable(reason):
		return m.finish(reason, retryAfter)
	case m.attempts >= m.config.MaxAttempts:
		return m.finish(reason, retryAfter)
	case m.Hop() >= m.config.MaxHops:
		return m.finish(outcome.ReasonHopLimit, retryAfter)
	case (ran || !isStaleView(reason)) && !m.budget.take(m.req.Tenant, m.event.now):
		return m.finish(outcome.ReasonRetryBudget, retryAfter)
	}
	m.step.Action = ActionDispatch
	if m.forwardedBytes > 0 {
		m.step.Weights, m.step.Pinned = m.current.Weights, true
	}
	return stateQueued
}
