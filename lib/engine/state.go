package engine

import "github.com/auburnbend/auburnbend/lib/model"

// State is what an engine reports about itself.
type State struct {
	// Incarnation changes with each start of the engine.
	Incarnation uint64 `json:"incarnation"`
	// Weights are the manifest digests of what is loaded; zero when nothing is,
	// and while a load runs.
	Weights model.Weights `json:"weights"`
	Role    Role          `json:"role"`
	// Accepted is the number of the last order that the engine took on.
	Accepted Fence `json:"accepted"`
	// Busy is true while that order runs.
	Busy bool `json:"busy"`
	// Failure says why the last order failed; it is empty after a success.
	Failure string `json:"failure,omitempty"`
}
