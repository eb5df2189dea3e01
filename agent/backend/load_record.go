package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// LoadRecord identifies the load of an engine's live weights. It is kept where it
// outlives the agent, so that the next agent of the instance knows that the weights were
// loaded intact: an engine reports what it was ordered to load, even if it read other
// bytes. The zero value means that no load is known to be intact.
type LoadRecord struct {
	Incarnation uint64        `json:"incarnation"`
	Accepted    engine.Fence  `json:"accepted"`
	Weights     model.Weights `json:"weights"`
}

func (r LoadRecord) state() confirmedState {
	return confirmedState{incarnation: r.Incarnation, accepted: r.Accepted, weights: r.Weights}
}
