package engine

import "time"

// StepKind is the kind of action that the owner of a Guard must take next.
type StepKind uint8

const (
	// StepIdle means that no order is outstanding.
	StepIdle StepKind = iota
	// StepReadState means: read the engine's state and call OnState.
	StepReadState
	// StepSend means: send Step.Order and call OnReply.
	StepSend
	// StepWait means: call Next again at Step.Until.
	StepWait
	// StepDone delivers Step.Result. The guard is idle afterwards.
	StepDone
)

// Step is the next action for the owner of a Guard.
type Step struct {
	Kind   StepKind
	Order  Order
	Until  time.Time
	Result Result
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	// State was read after the order ended. It is the zero value if the order
	// was rejected or never sent.
	State State
	Reply Reply
	// Err is nil if the order succeeded and the state confirms it.
	Err error
}
