package replica

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// Phase is the progress of an instance towards a declared version.
type Phase string

// Phases of an instance.
const (
	// PhaseIdle means that no version is declared or that the engine doesn't
	// answer.
	PhaseIdle Phase = "idle"
	// PhaseFetching means that pieces are missing.
	PhaseFetching Phase = "fetching"
	// PhaseFetched means that all pieces are present and that the engine hasn't
	// been ordered to load them yet.
	PhaseFetched Phase = "fetched"
	// PhaseLoading means that the engine is carrying out an order.
	PhaseLoading Phase = "loading"
	// PhaseVerifying means that the engine has taken layers of the declared version that
	// are not known to be intact, or not all of them.
	PhaseVerifying Phase = "verifying"
	// PhaseServing means that the engine serves the declared version.
	PhaseServing Phase = "serving"
)

// trigger is an observation about the instance that may change its phase.
type trigger string

const (
	// triggerUnknown means that no version is declared or that the engine doesn't
	// answer.
	triggerUnknown trigger = "unknown"
	// triggerMissing means that neither the engine nor the agent has the version.
	triggerMissing trigger = "missing"
	// triggerFetched means that the agent has the version.
	triggerFetched trigger = "fetched"
	// triggerBusy means that the engine is carrying out an order.
	triggerBusy trigger = "busy"
	// triggerTaken means that the engine has taken layers of the version.
	triggerTaken trigger = "taken"
	// triggerServing means that the engine serves the version.
	triggerServing trigger = "serving"
)

// phaseMachine is the state machine of one replica. Only the replica's goroutine
// calls fire; phase is safe for concurrent use.
type phaseMachine struct {
	machine *stateless.StateMachine
	current atomic.Value
}

func newPhaseMachine(changed func(from, to Phase)) *phaseMachine {
	p := &phaseMachine{machine: stateless.NewStateMachine(PhaseIdle)}
	p.current.Store(PhaseIdle)
	p.machine.Configure(PhaseIdle).
		Ignore(triggerUnknown).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerTaken, PhaseVerifying).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseFetching).
		Ignore(triggerMissing).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerTaken, PhaseVerifying).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseFetched).
		Ignore(triggerFetched).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerTaken, PhaseVerifying).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseLoading).
		Ignore(triggerBusy).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerTaken, PhaseVerifying).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseVerifying).
		Ignore(triggerTaken).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseServing).
		Ignore(triggerServing).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerTaken, PhaseVerifying).
		Permit(triggerBusy, PhaseLoading)
	p.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		from, to := t.Source.(Phase), t.Destination.(Phase)
		p.current.Store(to)
		changed(from, to)
	})
	return p
}

// fire applies a trigger. It panics on a trigger that the current phase doesn't
// permit, which is a programming error.
func (p *phaseMachine) fire(t trigger) {
	if err := p.machine.Fire(t); err != nil {
		panic(err)
	}
}

func (p *phaseMachine) phase() Phase { return p.current.Load().(Phase) }
