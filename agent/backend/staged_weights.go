package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// StagedWeights describes a complete and verified version in the staging directory.
// Adapter is empty for weights without an adapter.
type StagedWeights struct {
	Weights model.Weights
	Base    engine.StagedFiles
	Adapter engine.StagedFiles
}
