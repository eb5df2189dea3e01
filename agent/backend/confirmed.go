package backend

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// confirmed is what the engine reported when its weights were last found to be
// live. Any difference later means that they no longer are.
type confirmed struct {
	incarnation uint64
	accepted    engine.Fence
	weights     model.Weights
}

func confirmedBy(s engine.State) confirmed {
	return confirmed{incarnation: s.Incarnation, accepted: s.Accepted, weights: s.Weights}
}

// candidate is a state that may be adopted once it has lasted.
type candidate struct {
	confirmed
	since time.Time
}
