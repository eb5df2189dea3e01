package backend

import (
	"context"

	"github.com/qmuntal/stateless"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// newPhases returns the state machine of the wanted version's phases. A trigger that
// a phase neither permits nor ignores is a violated invariant.
func (m *Machine) newPhases() *stateless.StateMachine {
	sm := stateless.NewStateMachine(wire.PhaseIdle)
	target := func(context.Context, ...any) (stateless.State, error) { return m.targetPhase(), nil }
	enter := func(f func()) stateless.ActionFunc {
		return func(context.Context, ...any) error {
			f()
			return nil
		}
	}
	sm.Configure(wire.PhaseIdle).
		PermitDynamic(triggerWantedChanged, target).
		Ignore(triggerLiveLost)
	sm.Configure(wire.PhaseFetching).
		OnEntry(enter(m.enterFetching)).OnExit(enter(m.exitFetching)).
		PermitDynamic(triggerWantedChanged, target).
		Permit(triggerFetched, wire.PhaseVerified).
		Permit(triggerConfirmed, wire.PhaseLive).
		Permit(triggerFailed, wire.PhaseFailed).
		Ignore(triggerLiveLost)
	sm.Configure(wire.PhaseVerified).
		OnEntry(enter(m.enterVerified)).
		PermitDynamic(triggerWantedChanged, target).
		Permit(triggerPermitted, wire.PhaseQuiescing).
		Permit(triggerConfirmed, wire.PhaseLive).
		Ignore(triggerLiveLost)
	sm.Configure(wire.PhaseQuiescing).
		OnEntry(enter(m.enterQuiescing)).OnExit(func(ctx context.Context, _ ...any) error {
		m.exitQuiescing(ctx)
		return nil
	}).
		PermitDynamic(triggerWantedChanged, target).
		Permit(triggerQuiesced, wire.PhaseLoading).
		Permit(triggerConfirmed, wire.PhaseLive).
		Ignore(triggerLiveLost)
	sm.Configure(wire.PhaseLoading).
		OnEntry(enter(m.enterLoading)).
		Ignore(triggerWantedChanged).
		Permit(triggerConfirmed, wire.PhaseLive).
		Permit(triggerFailed, wire.PhaseFailed).
		PermitDynamic(triggerLoadSuperseded, target)
	sm.Configure(wire.PhaseLive).
		OnEntry(enter(m.enterLive)).
		PermitDynamic(triggerWantedChanged, target).
		Permit(triggerLiveLost, wire.PhaseFetching)
	sm.Configure(wire.PhaseFailed).
		OnEntry(enter(m.enterFailed)).
		PermitDynamic(triggerWantedChanged, target).
		Permit(triggerRetry, wire.PhaseFetching).
		Permit(triggerConfirmed, wire.PhaseLive).
		Ignore(triggerLiveLost)
	return sm
}

// targetPhase returns the phase to enter for the wanted version if no load is running.
func (m *Machine) targetPhase() wire.Phase {
	switch {
	case m.wanted.IsZero():
		return wire.PhaseIdle
	case m.live.weights == m.wanted:
		return wire.PhaseLive
	default:
		return wire.PhaseFetching
	}
}
