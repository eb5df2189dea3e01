package engine

import "github.com/auburnbend/auburnbend/lib/model"

// State is the state that an engine reports.
type State struct {
	// Incarnation changes at every start of the engine.
	Incarnation uint64 `json:"incarnation"`
	// Weights are the manifest digests of the loaded weights. They are zero if
	// nothing is loaded and during a load.
	Weights model.Weights `json:"weights"`
	Role    Role          `json:"role"`
	// Accepted is the fence of the last order that the engine accepted.
	Accepted Fence `json:"accepted"`
	// Busy is true while that order is running.
	Busy bool `json:"busy"`
	// Failure is the reason why the last order failed; it is empty on success.
	Failure string `json:"failure,omitempty"`
}
