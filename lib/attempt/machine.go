package attempt

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Machine is the state of one request at one entry.
type Machine struct {
	config Config
	req    Request
	budget *Budget
	state  state
	event  event
	step   Step
	firing firing

	current    Dispatch
	dispatched time.Time // of the current attempt
	attempts   int
	reattaches int
	tried      []model.InstanceID
	// mayHaveRun is set once any attempt may have run: from then on the request
	// cannot end as not run, whatever happens to later attempts.
	mayHaveRun bool
	// replaying ignores frames beyond a gap until the replay reaches the gap.
	replaying bool

	answer  answer
	sent    int64 // bytes of the answer that the caller has
	sentSum model.Digest
}

// New returns the machine of a request that was not dispatched yet. A nil
// budget allows every retry.
func New(config Config, req Request, budget *Budget) *Machine {
	m := &Machine{config: config.applyDefaults(), req: req, budget: budget}
	m.firing = firing{Context: context.Background(), machine: m}
	return m
}

// Attempt returns the id of the current or last attempt.
func (m *Machine) Attempt() model.AttemptID { return m.current.Attempt }

// TriedInstances returns the instances of earlier attempts, which a retry avoids.
func (m *Machine) TriedInstances() []model.InstanceID { return m.tried }

// Hop returns the hop count that the next RequestStart carries.
func (m *Machine) Hop() int { return m.req.Hop + m.attempts }

// NextSequence returns the sequence number of the frame that is expected next, which
// is the number that ResponseAck carries.
func (m *Machine) NextSequence() uint64 { return m.answer.next }

// Remaining returns the time until the deadline, which RequestStart carries.
func (m *Machine) Remaining(now time.Time) time.Duration { return m.req.Deadline.Sub(now) }

// Done reports whether no event changes anything any more.
func (m *Machine) Done() bool { return m.state == stateFinished }

func (m *Machine) fire(t trigger, e event) Step {
	m.event, m.step = e, Step{}
	// The table drops unknown events and handlers return no errors.
	_ = flow.FireCtx(&m.firing, t)
	m.event = event{}
	return m.step
}

// finish gives the caller its final answer. The outcome follows from whether
// any attempt may have run.
func (m *Machine) finish(reason outcome.Reason, retryAfter time.Duration) state {
	m.step.Action = ActionFinish
	m.step.Reason = reason
	m.step.Outcome = outcome.NotRun
	if m.mayHaveRun {
		m.step.Outcome = outcome.Unknown
	}
	if retryAfter <= 0 && retryAdvised(reason) {
		retryAfter = m.config.RetryAfter
	}
	m.step.RetryAfter = retryAfter
	return stateFinished
}

// again decides what follows an attempt that gave no whole answer; ran says
// whether it may have run.
func (m *Machine) again(ran bool, reason outcome.Reason, retryAfter time.Duration) state {
	m.mayHaveRun = m.mayHaveRun || ran
	if m.sent > 0 && m.answer.bytes == m.sent {
		m.sentSum = m.answer.sum()
	}
	if ran && m.req.Repeatable {
		m.step.Cancel = m.current.Attempt
	}
	if m.sent == 0 && m.req.Buffered {
		m.step.Discard = true
	}
	switch {
	case m.mayHaveRun && !m.req.Repeatable:
		return m.finish(reason, retryAfter)
	case m.sent > 0 && !m.req.Continue:
		return m.finish(outcome.ReasonIncomplete, retryAfter)
	case !m.event.now.Before(m.req.Deadline):
		return m.finish(outcome.ReasonDeadline, retryAfter)
	case !worthAnother(reason):
		return m.finish(reason, retryAfter)
	case m.attempts >= m.config.MaxAttempts:
		return m.finish(reason, retryAfter)
	case m.Hop() >= m.config.MaxHops:
		return m.finish(outcome.ReasonHopLimit, retryAfter)
	case (ran || !redirects(reason)) && !m.budget.take(m.req.Tenant, m.event.now):
		return m.finish(outcome.ReasonRetryBudget, retryAfter)
	}
	m.step.Action = ActionDispatch
	if m.sent > 0 {
		m.step.Weights, m.step.Pinned = m.current.Weights, true
	}
	return stateQueued
}
