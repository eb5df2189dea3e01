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
	// Ordered is the fence of an order on its way that leaves the weights in place, or zero.
	// Once the engine has accepted it, it reports this fence instead of Accepted.
	Ordered engine.Fence `json:"ordered,omitzero"`
}

// matches reports whether an engine in state c holds the weights of the recorded load.
func (r LoadRecord) matches(c confirmedState) bool {
	if r.Ordered != (engine.Fence{}) && c.accepted == r.Ordered {
		c.accepted = r.Accepted
	}
	return c == r.state()
}

func (r LoadRecord) state() confirmedState {
	return confirmedState{incarnation: r.Incarnation, accepted: r.Accepted, weights: r.Weights}
}
