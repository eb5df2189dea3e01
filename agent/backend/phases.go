package backend

import (
	"context"

	"github.com/qmuntal/stateless"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// phases returns the state machine of the wanted version. Actions on entry are
// those of Machine; a trigger that a phase does not permit is a broken
// invariant.
func (m *Machine) newPhases() *stateless.StateMachine {
	sm := stateless.NewStateMachine(wire.PhaseIdle)
	want := func(context.Context, ...any) (stateless.State, error) { return m.afterWant(), nil }
	enter := func(f func()) stateless.ActionFunc {
		return func(context.Context, ...any) error {
			f()
			return nil
		}
	}
	sm.Configure(wire.PhaseIdle).
		PermitDynamic(triggerWant, want).
		Ignore(triggerLost)
	sm.Configure(wire.PhaseFetching).
		OnEntry(enter(m.enterFetching)).OnExit(enter(m.exitFetching)).
		PermitDynamic(triggerWant, want).
		Permit(triggerFetched, wire.PhaseVerified).
		Permit(triggerConfirmed, wire.PhaseLive).
		Permit(triggerFailed, wire.PhaseFailed).
		Ignore(triggerLost)
	sm.Configure(wire.PhaseVerified).
		OnEntry(enter(m.enterVerified)).
		PermitDynamic(triggerWant, want).
		Permit(triggerPermitted, wire.PhaseQuiescing).
		Permit(triggerConfirmed, wire.PhaseLive).
		Ignore(triggerLost)
	sm.Configure(wire.PhaseQuiescing).
		OnEntry(enter(m.enterQuiescing)).OnExit(func(ctx context.Context, _ ...any) error {
		m.exitQuiescing(ctx)
		return nil
	}).
		PermitDynamic(triggerWant, want).
		Permit(triggerQuiesced, wire.PhaseLoading).
		Permit(triggerConfirmed, wire.PhaseLive).
		Ignore(triggerLost)
	sm.Configure(wire.PhaseLoading).
		OnEntry(enter(m.enterLoading)).
		Ignore(triggerWant).
		Permit(triggerConfirmed, wire.PhaseLive).
		Permit(triggerFailed, wire.PhaseFailed).
		PermitDynamic(triggerEnded, want)
	sm.Configure(wire.PhaseLive).
		OnEntry(enter(m.enterLive)).
		PermitDynamic(triggerWant, want).
		Permit(triggerLost, wire.PhaseFetching)
	sm.Configure(wire.PhaseFailed).
		OnEntry(enter(m.enterFailed)).
		PermitDynamic(triggerWant, want).
		Permit(triggerRetry, wire.PhaseFetching).
		Permit(triggerConfirmed, wire.PhaseLive).
		Ignore(triggerLost)
	return sm
}

// afterWant returns the phase for the wanted version outside of a load.
func (m *Machine) afterWant() wire.Phase {
	switch {
	case m.wanted.IsZero():
		return wire.PhaseIdle
	case m.live.weights == m.wanted:
		return wire.PhaseLive
	default:
		return wire.PhaseFetching
	}
}
