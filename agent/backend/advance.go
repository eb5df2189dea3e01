package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// advance runs after each event. It leaves phases whose condition is met, continues
// the outstanding order, and reads the engine's state if that is due.
func (m *Machine) advance() {
	if m.Phase() == wire.PhaseVerified {
		m.requestPermit()
	}
	if m.Phase() == wire.PhaseQuiescing && m.quiesced && !m.guard.Outstanding() {
		m.fire(triggerQuiesced)
	}
	if m.guard.Outstanding() {
		m.advanceOrder()
		return
	}
	if !m.readPending && !m.now.Before(m.nextReadAt) {
		m.readState()
	}
}

// requestPermit requests a permit to replace the live weights. An instance that serves
// nothing needs no permit, because its load reduces no capacity.
func (m *Machine) requestPermit() {
	switch {
	case m.live.weights.IsZero():
		m.fire(triggerPermitted)
	case !m.permitPending && !m.now.Before(m.nextPermitAt):
		m.permitPending = true
		m.emit(Action{Kind: ActionPermit, Weights: m.wanted})
	}
}

// advanceOrder performs the next step of the outstanding order. A load that is ready to be
// sent is withdrawn if its files must be verified again, because the engine was busy or
// did not respond for long.
func (m *Machine) advanceOrder() {
	if m.Phase() == wire.PhaseLoading && m.guard.Ready() && m.stagedFilesStale() && m.guard.Withdraw() {
		m.submitLoad()
		return
	}
	m.guardWakeAt = m.now.Add(m.cfg.StatePollInterval)
	switch step := m.guard.Next(m.now); step.Kind {
	case engine.StepReadState:
		if !m.readPending {
			m.readState()
		}
	case engine.StepSend:
		m.recordOrder(step.Order)
		m.emit(Action{Kind: ActionOrder, Order: step.Order})
	case engine.StepWait:
		m.guardWakeAt = step.Until
	case engine.StepDone:
		m.nextReadAt = m.now
		if step.Result.Order.Kind == engine.OrderLoad {
			m.handleLoadResult(step.Result)
		} else {
			m.handleOrderResult(step.Result)
		}
		m.advance()
	}
}

func (m *Machine) readState() {
	m.readPending = true
	m.emit(Action{Kind: ActionReadState})
}

// handleLoadResult processes the result of a load. The engine has not compared what it
// has read with the manifest, so the files are verified once more before anything is
// served: if they are still those that were verified before the order, the engine has
// read intact files.
func (m *Machine) handleLoadResult(r engine.Result) {
	if r.Err != nil {
		m.endLoad(r.Err)
		return
	}
	m.failedReads = 0
	m.startVerification(verifyLoaded, ActionVerifyLoaded, confirmedStateOf(r.State))
}

// handleOrderResult processes the result of an order other than a load. The weights
// stay live only if the order left them unchanged; they are then confirmed under the
// fence of that order.
func (m *Machine) handleOrderResult(r engine.Result) {
	current := confirmedStateOf(r.State)
	unsent := r.State == (engine.State{})
	switch {
	case m.live.weights.IsZero():
	case unsent:
		m.record(m.live.record())
	case !r.State.Busy && current.incarnation == m.live.incarnation && current.weights == m.live.weights &&
		(r.Err == nil || current.accepted == r.Order.Fence):
		m.live, m.previous = current, current
		m.record(current.record())
	default:
		m.abort(r.State)
	}
	m.emit(Action{Kind: ActionOrderDone, Order: r.Order, Result: r})
}

// recordOrder records an order that leaves the live weights in place before it is sent: the
// agent may end before it knows that the engine has accepted it, and the next agent then
// finds the weights under the fence of that order.
func (m *Machine) recordOrder(o engine.Order) {
	if o.Kind == engine.OrderLoad || m.live.weights.IsZero() {
		return
	}
	r := m.live.record()
	r.Ordered = o.Fence
	m.record(r)
}

// setLive marks the weights of a confirmed state as live and serves them.
func (m *Machine) setLive(c confirmedState) {
	m.live, m.previous, m.candidate, m.failedReads = c, c, candidate{}, 0
	m.record(c.record())
	m.serve()
}

// abort marks no weights as live and lets no running request end as a success: the engine
// has accepted another order or has restarted since its weights were confirmed.
func (m *Machine) abort(s engine.State) {
	if !m.live.weights.IsZero() {
		m.emit(Action{Kind: ActionAbort, Restarted: s.Incarnation != m.live.incarnation})
	}
	m.clearLive()
}

// clearLive marks no weights as live. During a quiesce it requests the quiesce again,
// because serving nothing ends it.
func (m *Machine) clearLive() {
	if m.live.weights == (model.Weights{}) {
		return
	}
	m.live = confirmedState{}
	m.serve()
	m.fire(triggerLiveLost)
	if m.Phase() == wire.PhaseQuiescing {
		m.quiesced = false
		m.emit(Action{Kind: ActionQuiesce})
	}
}
