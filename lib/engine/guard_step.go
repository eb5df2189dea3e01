package engine

import "time"

// StepKind says what the owner of a Guard does next.
type StepKind uint8

const (
	// StepIdle means that no order is outstanding.
	StepIdle StepKind = iota
	// StepReadState asks for State, whose result goes to OnState.
	StepReadState
	// StepSend asks to send Order, whose result goes to OnReply.
	StepSend
	// StepWait asks to call Next again at Until.
	StepWait
	// StepDone reports Result; the guard is idle from then on.
	StepDone
)

// Step is the next action of an order.
type Step struct {
	Kind   StepKind
	Order  Order
	Until  time.Time
	Result Result
}

// Result is the outcome of an order.
type Result struct {
	Order Order
	// State was read after the order ended. It is the zero value when the
	// order was refused or never sent.
	State State
	Reply Reply
	// Err is nil when the order was carried out and the state shows it.
	Err error
}
