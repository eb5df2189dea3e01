package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// advance does what follows from the last event: it moves on phases that wait
// for nothing, carries the order on, and reads the state when it is due.
func (m *Machine) advance() {
	if m.Phase() == wire.PhaseVerified {
		m.leave()
	}
	if m.Phase() == wire.PhaseQuiescing && m.quiesced && !m.guard.Outstanding() {
		m.fire(triggerQuiesced)
	}
	if m.guard.Outstanding() {
		m.order()
		return
	}
	if !m.reading && !m.now.Before(m.nextRead) {
		m.read()
	}
}

// leave asks for the permit to leave what is served. An instance that serves
// nothing needs none: no capacity is lost by its load.
func (m *Machine) leave() {
	switch {
	case m.live.weights.IsZero():
		m.fire(triggerPermitted)
	case !m.permitting && !m.now.Before(m.permitAt):
		m.permitting = true
		m.act(Action{Kind: ActionPermit, Weights: m.wanted})
	}
}

func (m *Machine) order() {
	m.guardWake = m.now.Add(m.cfg.StatePollInterval)
	switch step := m.guard.Next(m.now); step.Kind {
	case engine.StepReadState:
		if !m.reading {
			m.read()
		}
	case engine.StepSend:
		m.act(Action{Kind: ActionOrder, Order: step.Order})
	case engine.StepWait:
		m.guardWake = step.Until
	case engine.StepDone:
		m.nextRead = m.now
		if step.Result.Order.Kind == engine.OrderLoad {
			m.loaded(step.Result)
		} else {
			m.ordered(step.Result)
		}
		m.advance()
	}
}

func (m *Machine) read() {
	m.reading = true
	m.act(Action{Kind: ActionReadState})
}

// loaded judges a load that ended. A version that was loaded although another
// one is wanted by now is served until the instance leaves it.
func (m *Machine) loaded(r engine.Result) {
	if r.Err == nil {
		m.confirm(confirmedBy(r.State))
	}
	switch {
	case m.wanted != r.Order.Weights:
		m.fire(triggerEnded)
	case r.Err != nil:
		m.fail(r.Err)
	default:
		m.fire(triggerConfirmed)
	}
}

// ordered judges another order that ended. It must have left the weights as
// they were; what is live now stands under its number.
func (m *Machine) ordered(r engine.Result) {
	now := confirmedBy(r.State)
	unsent := r.State == (engine.State{})
	switch {
	case m.live.weights.IsZero() || unsent:
	case !r.State.Busy && now.incarnation == m.live.incarnation && now.weights == m.live.weights && r.Err == nil:
		m.live = now
	default:
		m.lose()
	}
	m.act(Action{Kind: ActionOrderDone, Order: r.Order, Result: r})
}

// confirm makes weights live.
func (m *Machine) confirm(c confirmed) {
	m.live, m.previous, m.candidate, m.missed = c, c, candidate{}, 0
	m.serve()
}

// lose ends live. During a quiesce it is asked for again, because serving
// nothing ends it.
func (m *Machine) lose() {
	if m.live.weights == (model.Weights{}) {
		return
	}
	m.live = confirmed{}
	m.serve()
	m.fire(triggerLost)
	if m.Phase() == wire.PhaseQuiescing {
		m.quiesced = false
		m.act(Action{Kind: ActionQuiesce})
	}
}
