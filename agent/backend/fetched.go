package backend

import (
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Fetched is a version that is complete and verified in the staging area.
type Fetched struct {
	Weights model.Weights
	Base    engine.Place
	Adapter engine.Place
}
