package attempt

import (
	"context"

	"github.com/qmuntal/stateless"
)

// state is the position of a request.
type state uint8

const (
	stateNew state = iota
	// stateQueued has no attempt outstanding.
	stateQueued
	// stateDispatched has an attempt outstanding and none of its frames.
	stateDispatched
	// stateStreaming has received frames of the outstanding attempt.
	stateStreaming
	// stateDetached lost the path to the agent and is reattaching.
	stateDetached
	// stateSettling has answered the caller while the fate of a non-repeatable
	// attempt is open.
	stateSettling
	stateFinished
)

// trigger is an event of a request.
type trigger uint8

const (
	triggerQueued trigger = iota
	triggerNotAdmitted
	triggerDispatched
	triggerRefused
	triggerFrame
	triggerEnd
	triggerConnectionLost
	triggerReattached
	triggerReattachFailed
	triggerServerCrashed
	triggerDeadline
	triggerCanceled
)

// flow is the table of states and transitions that all machines share. The
// state itself is stored in the Machine, which each firing carries as its
// context; building a table per request would cost more than all its firings.
var flow = newFlow()

func newFlow() *stateless.StateMachine {
	f := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return machineOf(ctx).state, nil },
		func(ctx context.Context, s stateless.State) error {
			machineOf(ctx).state = s.(state)
			return nil
		},
		stateless.FiringImmediate,
	)
	// An event that does not concern the state is late or crossed: it is dropped.
	f.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })

	f.Configure(stateNew).
		PermitDynamic(triggerQueued, by((*Machine).onQueued)).
		PermitDynamic(triggerNotAdmitted, by((*Machine).onNotAdmitted)).
		PermitDynamic(triggerDeadline, by((*Machine).onDeadline)).
		PermitDynamic(triggerCanceled, by((*Machine).onCanceled))
	f.Configure(stateQueued).
		PermitDynamic(triggerDispatched, by((*Machine).onDispatched)).
		PermitDynamic(triggerNotAdmitted, by((*Machine).onNotAdmitted)).
		PermitDynamic(triggerDeadline, by((*Machine).onDeadline)).
		PermitDynamic(triggerCanceled, by((*Machine).onCanceled))
	for _, s := range []state{stateDispatched, stateStreaming, stateDetached} {
		f.Configure(s).
			PermitDynamic(triggerRefused, by((*Machine).onRefused)).
			PermitDynamic(triggerFrame, by((*Machine).onFrame)).
			PermitDynamic(triggerEnd, by((*Machine).onEnd)).
			PermitDynamic(triggerConnectionLost, by((*Machine).onConnectionLost)).
			PermitDynamic(triggerServerCrashed, by((*Machine).onServerCrashed)).
			PermitDynamic(triggerDeadline, by((*Machine).onDeadline)).
			PermitDynamic(triggerCanceled, by((*Machine).onCanceled))
	}
	f.Configure(stateDetached).
		PermitDynamic(triggerReattached, by((*Machine).onReattached)).
		PermitDynamic(triggerReattachFailed, by((*Machine).onReattachFailed))
	f.Configure(stateSettling).
		PermitDynamic(triggerRefused, by((*Machine).settleRefused)).
		PermitDynamic(triggerFrame, by((*Machine).settleFrame)).
		PermitDynamic(triggerEnd, by((*Machine).settleEnd)).
		PermitDynamic(triggerConnectionLost, by((*Machine).settleLost)).
		PermitDynamic(triggerReattached, by((*Machine).settleReattached)).
		PermitDynamic(triggerReattachFailed, by((*Machine).settleUnknown)).
		PermitDynamic(triggerServerCrashed, by((*Machine).settleUnknown))
	return f
}

func by(handle func(*Machine) state) stateless.DestinationSelectorFunc {
	return func(ctx context.Context, _ ...any) (stateless.State, error) {
		return handle(machineOf(ctx)), nil
	}
}

// machineKey finds the Machine in the context of a firing.
type machineKey struct{}

// firing is the context of a Machine's firings.
type firing struct {
	context.Context
	machine *Machine
}

func (f *firing) Value(key any) any {
	if _, ok := key.(machineKey); ok {
		return f.machine
	}
	return nil
}

func machineOf(ctx context.Context) *Machine { return ctx.Value(machineKey{}).(*Machine) }
