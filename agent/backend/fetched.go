package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// StagedWeights is a version that is complete and verified in the staging area.
type StagedWeights struct {
	Weights model.Weights
	Base    engine.StagedFiles
	Adapter engine.StagedFiles
}
