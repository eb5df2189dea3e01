package backend

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// confirmedState is the state that the engine reported when its weights were last
// found to be live. If a later report differs, they are no longer live.
type confirmedState struct {
	incarnation uint64
	accepted    engine.Fence
	weights     model.Weights
}

func confirmedStateOf(s engine.State) confirmedState {
	return confirmedState{incarnation: s.Incarnation, accepted: s.Accepted, weights: s.Weights}
}

func (c confirmedState) record() LoadRecord {
	return LoadRecord{Incarnation: c.incarnation, Accepted: c.accepted, Weights: c.weights}
}

// candidate is a recorded state that is adopted once the engine has reported it for
// Config.AdoptAfter.
type candidate struct {
	confirmedState
	since time.Time
}
