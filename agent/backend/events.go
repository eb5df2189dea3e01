package backend

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ErrOrderRefused means that SubmitOrder did not accept an order because a load is
// imminent, another order is outstanding, or the recorded weights may still be adopted.
var ErrOrderRefused = merry.New("order refused: a load is imminent, another order is outstanding, or recorded weights are not confirmed yet")

// SetWanted sets the version that should become live. If it is zero, the live weights
// stay as they are.
func (m *Machine) SetWanted(now time.Time, w model.Weights) {
	m.now = now
	if w == m.wanted {
		return
	}
	m.wanted, m.failures = w, 0
	if m.withdrawLoad() {
		// The load was not sent. The next state read confirms the previous weights.
		m.nextReadAt = now
		m.fire(triggerLoadSuperseded)
	} else {
		m.fire(triggerWantedChanged)
	}
	m.advance()
}

// HandleFetched handles the result of a fetch. It ignores the result if the version is
// no longer wanted.
func (m *Machine) HandleFetched(now time.Time, f StagedWeights, err error) {
	m.now = now
	if m.Phase() != wire.PhaseFetching || f.Weights != m.wanted {
		return
	}
	m.fetching = false
	if err != nil {
		m.fail(err)
	} else {
		m.staged = f
		m.fire(triggerFetched)
	}
	m.advance()
}

// HandlePermit handles the result of a permit request for w. If the permit is denied,
// retry is the time after which to request it again; 0 means the default.
func (m *Machine) HandlePermit(now time.Time, w model.Weights, granted bool, retry time.Duration) {
	m.now = now
	if m.Phase() != wire.PhaseVerified || w != m.wanted || !m.permitPending {
		return
	}
	m.permitPending = false
	if granted {
		m.fire(triggerPermitted)
	} else {
		setDefault(&retry, m.cfg.PermitRetryInterval)
		m.nextPermitAt = now.Add(retry)
	}
	m.advance()
}

// HandleQuiesced handles the end of a quiesce: no request is running or admitted.
func (m *Machine) HandleQuiesced(now time.Time) {
	m.now = now
	if m.Phase() == wire.PhaseQuiescing {
		m.quiesced = true
	}
	m.advance()
}

// HandleCrash handles a crash of the engine. No weights are live until its state has
// been read again.
func (m *Machine) HandleCrash(now time.Time) {
	m.now = now
	m.candidate = candidate{}
	m.clearLive()
	m.nextReadAt = now
	m.advance()
}

// HandleState handles the result of a state read.
func (m *Machine) HandleState(now time.Time, s engine.State, err error) {
	m.now = now
	m.readPending = false
	m.nextReadAt = now.Add(m.cfg.StatePollInterval)
	outstanding := m.guard.Outstanding()
	m.guard.OnState(now, s, err)
	switch {
	case outstanding:
		m.checkStateDuringOrder(s, err)
	case m.verification.step == verifyStaged: // nothing is served before the load
	case m.verification.step != verifyNothing:
		m.confirmLoad(s, err)
	default:
		m.checkState(s, err)
	}
	m.advance()
}

// HandleVerified handles the result of the verification with the given number. For
// ActionVerifyStaged, f has new seals. Results of earlier verifications are ignored.
func (m *Machine) HandleVerified(now time.Time, number uint64, f StagedWeights, err error) {
	m.now = now
	if number != m.verification.number {
		return
	}
	switch step := m.verification.step; {
	case step == verifyStaged && err != nil:
		m.endLoad(err)
	case step == verifyStaged:
		m.endVerification()
		m.staged = f
		m.submitLoad()
	case step == verifyLoaded && err != nil:
		m.endLoad(merry.Wrap(ErrLoadUnverified, merry.AppendMessage(err.Error()), merry.WithCause(err)))
	case step == verifyLoaded:
		m.verification.step, m.verification.staleRead = verifyState, m.readPending
		m.nextReadAt = now
	}
	m.advance()
}

// HandleReply handles the engine's reply to an order.
func (m *Machine) HandleReply(now time.Time, r engine.Reply, err error) {
	m.now = now
	m.guard.OnReply(now, r, err)
	m.advance()
}

// SubmitOrder submits an order other than a load, such as a change of role or a
// transfer of KV cache. The result is reported by ActionOrderDone. SubmitOrder returns
// ErrOrderRefused if another order is outstanding or a load is imminent, or while the
// recorded weights may be adopted: the record would not match the fence of the order.
func (m *Machine) SubmitOrder(now time.Time, o engine.Order) error {
	m.now = now
	phase := m.Phase()
	if o.Kind == engine.OrderLoad || m.guard.Outstanding() || phase == wire.PhaseQuiescing || phase == wire.PhaseLoading || m.mayAdopt() {
		return merry.Wrap(ErrOrderRefused)
	}
	if err := m.guard.Submit(o); err != nil {
		return err
	}
	m.advance()
	return nil
}

// Tick handles the passage of time. NextTick returns when it must be called.
func (m *Machine) Tick(now time.Time) {
	m.now = now
	if m.Phase() == wire.PhaseFailed && !now.Before(m.retryAt) {
		m.fire(triggerRetry)
	}
	m.advance()
}
