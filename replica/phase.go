package replica

import (
	"context"
	"sync/atomic"

	"github.com/qmuntal/stateless"
)

// Phase is where an instance stands on its way to a declared version.
type Phase string

// Phases.
const (
	// PhaseIdle means that nothing is declared or the engine does not answer.
	PhaseIdle Phase = "idle"
	// PhaseFetching means that pieces are missing.
	PhaseFetching Phase = "fetching"
	// PhaseFetched means that all pieces are here and the engine still serves
	// what it has.
	PhaseFetched Phase = "fetched"
	// PhaseLoading means that the engine has its order.
	PhaseLoading Phase = "loading"
	// PhaseServing means that the declared version serves.
	PhaseServing Phase = "serving"
)

// trigger is what was found out about the instance.
type trigger string

const (
	// triggerUnknown means that the engine does not answer.
	triggerUnknown trigger = "unknown"
	// triggerMissing means that the engine lacks the version and so does the
	// agent.
	triggerMissing trigger = "missing"
	// triggerFetched means that the agent has the version.
	triggerFetched trigger = "fetched"
	// triggerBusy means that the engine follows an order.
	triggerBusy trigger = "busy"
	// triggerServing means that the engine serves the version.
	triggerServing trigger = "serving"
)

// phases is the machine of one replica. Its owner is the replica's goroutine;
// phase may be called by others.
type phases struct {
	machine *stateless.StateMachine
	current atomic.Value
}

func newPhases(changed func(from, to Phase)) *phases {
	p := &phases{machine: stateless.NewStateMachine(PhaseIdle)}
	p.current.Store(PhaseIdle)
	p.machine.Configure(PhaseIdle).
		Ignore(triggerUnknown).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseFetching).
		Ignore(triggerMissing).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseFetched).
		Ignore(triggerFetched).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerBusy, PhaseLoading).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseLoading).
		Ignore(triggerBusy).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerServing, PhaseServing)
	p.machine.Configure(PhaseServing).
		Ignore(triggerServing).
		Permit(triggerUnknown, PhaseIdle).
		Permit(triggerMissing, PhaseFetching).
		Permit(triggerFetched, PhaseFetched).
		Permit(triggerBusy, PhaseLoading)
	p.machine.OnTransitioned(func(_ context.Context, t stateless.Transition) {
		from, to := t.Source.(Phase), t.Destination.(Phase)
		p.current.Store(to)
		changed(from, to)
	})
	return p
}

// fire moves the machine on. A trigger that does not fit is a broken invariant.
func (p *phases) fire(t trigger) {
	if err := p.machine.Fire(t); err != nil {
		panic(err)
	}
}

func (p *phases) phase() Phase { return p.current.Load().(Phase) }
