package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionFetch fetches and verifies Weights. The result goes to HandleFetched.
	ActionFetch ActionKind = iota
	// ActionCancelFetch cancels the fetch of Weights.
	ActionCancelFetch
	// ActionPermit requests a permit to replace the live weights with Weights. The
	// result goes to HandlePermit.
	ActionPermit
	// ActionQuiesce refuses new requests and waits until none is running.
	// HandleQuiesced is called then.
	ActionQuiesce
	// ActionServe admits requests for Weights, or for none if Weights is zero. It also
	// ends a quiesce.
	ActionServe
	// ActionAbort lets no running request end as a success, because the engine may have
	// changed its weights during them. Restarted tells whether the engine restarted.
	ActionAbort
	// ActionReadState reads the engine's state. The result goes to HandleState.
	ActionReadState
	// ActionVerifyStaged verifies the Staged files before they are loaded. The result
	// and Number go to HandleVerified.
	ActionVerifyStaged
	// ActionVerifyLoaded verifies that the Staged files are intact and that nobody has
	// changed them since they were verified. The result and Number go to HandleVerified.
	ActionVerifyLoaded
	// ActionOrder sends Order to the engine. The result goes to HandleReply.
	ActionOrder
	// ActionOrderDone reports the Result of an order submitted with SubmitOrder.
	ActionOrderDone
	// ActionReport reports the Phase of Weights.
	ActionReport
	// ActionRecord replaces the stored LoadRecord by Record.
	ActionRecord
)

// String returns the name that is shown in traces.
func (k ActionKind) String() string {
	return [...]string{"fetch", "cancel_fetch", "permit", "quiesce", "serve", "abort", "read_state", "verify_staged", "verify_loaded", "order", "order_done", "report", "record"}[k]
}

// Action is an operation that the owner of a Machine must carry out. Only the fields
// that Kind names are set.
type Action struct {
	Kind    ActionKind
	Weights model.Weights
	Order   engine.Order
	Phase   wire.Phase
	Result  engine.Result
	Record  LoadRecord
	Staged  StagedWeights
	Number  uint64
	// Restarted is true for ActionAbort if the engine's incarnation changed.
	Restarted bool
	// Err is the reason for ActionReport with PhaseFailed.
	Err error
}
