package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// ActionKind says what the owner of a Machine does.
type ActionKind uint8

const (
	// ActionFetch asks to fetch and verify Weights; the result goes to Fetched.
	ActionFetch ActionKind = iota
	// ActionCancelFetch asks to end the fetch of Weights.
	ActionCancelFetch
	// ActionPermit asks whether the instance may leave what it serves for
	// Weights; the answer goes to Permitted.
	ActionPermit
	// ActionQuiesce asks to refuse new requests and to wait until none runs;
	// then Quiesced is called.
	ActionQuiesce
	// ActionServe asks to admit requests for Weights, or for none when they
	// are zero. It also ends a quiesce.
	ActionServe
	// ActionReadState asks for the engine's state, which goes to State.
	ActionReadState
	// ActionOrder asks to send Order; the result goes to Reply.
	ActionOrder
	// ActionOrderDone tells the Result of an order that Order gave.
	ActionOrderDone
	// ActionReport tells that Weights are in Phase.
	ActionReport
)

// String returns the name that traces show.
func (k ActionKind) String() string {
	return [...]string{"fetch", "cancel_fetch", "permit", "quiesce", "serve", "read_state", "order", "order_done", "report"}[k]
}

// Action is one thing to do.
type Action struct {
	Kind    ActionKind
	Weights model.Weights
	Order   engine.Order
	Phase   wire.Phase
	Result  engine.Result
	// Err says why Phase is failed.
	Err error
}
