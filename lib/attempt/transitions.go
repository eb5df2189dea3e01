package attempt

import (
	"context"

	"github.com/qmuntal/stateless"
)

// state is the state of a request.
type state uint8

const (
	stateNew state = iota
	// stateQueued: no attempt is outstanding.
	stateQueued
	// stateDispatched: an attempt is outstanding, no frame of it has arrived.
	stateDispatched
	// stateStreaming: frames of the outstanding attempt have arrived.
	stateStreaming
	// stateDetached: the connection to the agent is lost and a reattach is in
	// progress.
	stateDetached
	// stateOutcomePending: the caller has its final response, the outcome of a
	// non-repeatable attempt is still unknown.
	stateOutcomePending
	stateFinished
)

// trigger identifies the kind of an event.
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

// transitions is the transition table that all machines share. The state is
// stored in the Machine, which is passed as the context of each firing:
// building a table per request would cost more than all of its firings.
var transitions = newTransitions()

func newTransitions() *stateless.StateMachine {
	f := stateless.NewStateMachineWithExternalStorage(
		func(ctx context.Context) (stateless.State, error) { return machineOf(ctx).state, nil },
		func(ctx context.Context, s stateless.State) error {
			machineOf(ctx).state = s.(state)
			return nil
		},
		stateless.FiringImmediate,
	)
	// Events that do not apply to the current state arrived late or crossed
	// another event, and are ignored.
	f.OnUnhandledTrigger(func(context.Context, stateless.State, stateless.Trigger, []string) error { return nil })

	f.Configure(stateNew).
		PermitDynamic(triggerQueued, destination((*Machine).onQueued)).
		PermitDynamic(triggerNotAdmitted, destination((*Machine).onNotAdmitted)).
		PermitDynamic(triggerDeadline, destination((*Machine).onDeadline)).
		PermitDynamic(triggerCanceled, destination((*Machine).onCanceled))
	f.Configure(stateQueued).
		PermitDynamic(triggerDispatched, destination((*Machine).onDispatched)).
		PermitDynamic(triggerNotAdmitted, destination((*Machine).onNotAdmitted)).
		PermitDynamic(triggerDeadline, destination((*Machine).onDeadline)).
		PermitDynamic(triggerCanceled, destination((*Machine).onCanceled))
	for _, s := range []state{stateDispatched, stateStreaming, stateDetached} {
		f.Configure(s).
			PermitDynamic(triggerRefused, destination((*Machine).onRefused)).
			PermitDynamic(triggerFrame, destination((*Machine).onFrame)).
			PermitDynamic(triggerEnd, destination((*Machine).onEnd)).
			PermitDynamic(triggerConnectionLost, destination((*Machine).onConnectionLost)).
			PermitDynamic(triggerServerCrashed, destination((*Machine).onServerCrashed)).
			PermitDynamic(triggerDeadline, destination((*Machine).onDeadline)).
			PermitDynamic(triggerCanceled, destination((*Machine).onCanceled))
	}
	f.Configure(stateDetached).
		PermitDynamic(triggerReattached, destination((*Machine).onReattached)).
		PermitDynamic(triggerReattachFailed, destination((*Machine).onReattachFailed))
	f.Configure(stateOutcomePending).
		PermitDynamic(triggerRefused, destination((*Machine).pendingRefused)).
		PermitDynamic(triggerFrame, destination((*Machine).pendingFrame)).
		PermitDynamic(triggerEnd, destination((*Machine).pendingEnd)).
		PermitDynamic(triggerConnectionLost, destination((*Machine).pendingConnectionLost)).
		PermitDynamic(triggerReattached, destination((*Machine).pendingReattached)).
		PermitDynamic(triggerReattachFailed, destination((*Machine).recordUnknown)).
		PermitDynamic(triggerServerCrashed, destination((*Machine).recordUnknown))
	return f
}

func destination(handle func(*Machine) state) stateless.DestinationSelectorFunc {
	return func(ctx context.Context, _ ...any) (stateless.State, error) {
		return handle(machineOf(ctx)), nil
	}
}

// machineKey is the context key of the Machine.
type machineKey struct{}

// firing is the context that carries the Machine through a firing.
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
