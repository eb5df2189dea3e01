package backend

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ErrSwitching means that an order other than a load was refused because the
// instance is about to load, or another order is outstanding.
var ErrSwitching = merry.New("instance is switching its weights")

// SetWanted sets the version that should be live; the zero value wants none and
// leaves what is live in place.
func (m *Machine) SetWanted(now time.Time, w model.Weights) {
	m.now = now
	if w == m.wanted {
		return
	}
	m.wanted, m.failures = w, 0
	if m.Phase() == wire.PhaseLoading && m.guard.Withdraw() {
		// Nothing was sent: a read of state shows the previous weights again.
		m.nextRead = now
		m.fire(triggerEnded)
	} else {
		m.fire(triggerWant)
	}
	m.advance()
}

// HandleFetched reports that a version is complete and verified, or why it is not. A
// result of a version that is no longer wanted is ignored.
func (m *Machine) HandleFetched(now time.Time, f StagedWeights, err error) {
	m.now = now
	if m.Phase() != wire.PhaseFetching || f.Weights != m.wanted {
		return
	}
	m.fetching = false
	if err != nil {
		m.fail(err)
	} else {
		m.fetched = f
		m.fire(triggerFetched)
	}
	m.advance()
}

// HandlePermit reports whether the instance may leave what it serves for w, and
// when to ask again if not.
func (m *Machine) HandlePermit(now time.Time, w model.Weights, granted bool, retry time.Duration) {
	m.now = now
	if m.Phase() != wire.PhaseVerified || w != m.wanted || !m.permitting {
		return
	}
	m.permitting = false
	if granted {
		m.fire(triggerPermitted)
	} else {
		defaultTo(&retry, m.cfg.PermitRetryInterval)
		m.permitAt = now.Add(retry)
	}
	m.advance()
}

// HandleQuiesced reports that no request runs and none is admitted.
func (m *Machine) HandleQuiesced(now time.Time) {
	m.now = now
	if m.Phase() == wire.PhaseQuiescing {
		m.quiesced = true
	}
	m.advance()
}

// HandleCrash reports that a request found the engine dead. Nothing is live until
// its state was read again.
func (m *Machine) HandleCrash(now time.Time) {
	m.now = now
	m.candidate = candidate{}
	m.lose()
	m.nextRead = now
	m.advance()
}

// HandleState reports a read of the engine's state.
func (m *Machine) HandleState(now time.Time, s engine.State, err error) {
	m.now = now
	m.reading = false
	m.nextRead = now.Add(m.cfg.StatePollInterval)
	outstanding := m.guard.Outstanding()
	m.guard.OnState(now, s, err)
	if outstanding {
		m.compare(s, err)
	} else {
		m.observe(s, err)
	}
	m.advance()
}

// HandleReply reports the result of an order.
func (m *Machine) HandleReply(now time.Time, r engine.Reply, err error) {
	m.now = now
	m.guard.OnReply(now, r, err)
	m.advance()
}

// SubmitOrder gives an order other than a load, such as a change of role or a move of
// KV cache. Its result comes as ActionOrderDone. It is refused with
// ErrSwitching while another order is outstanding or a load is near.
func (m *Machine) SubmitOrder(now time.Time, o engine.Order) error {
	m.now = now
	phase := m.Phase()
	if o.Kind == engine.OrderLoad || m.guard.Outstanding() || phase == wire.PhaseQuiescing || phase == wire.PhaseLoading {
		return merry.Wrap(ErrSwitching)
	}
	if err := m.guard.Submit(o); err != nil {
		return err
	}
	m.advance()
	return nil
}

// Tick lets time pass. Wake tells when it is due.
func (m *Machine) Tick(now time.Time) {
	m.now = now
	if m.Phase() == wire.PhaseFailed && !now.Before(m.retryAt) {
		m.fire(triggerRetry)
	}
	m.advance()
}
