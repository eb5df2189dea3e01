package backend

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

// StagedWeights describes a complete version in the staging directory. The adapter's
// fields are zero for weights without an adapter.
type StagedWeights struct {
	Weights     model.Weights
	Base        engine.StagedFiles
	BaseSeal    weights.Seal
	Adapter     engine.StagedFiles
	AdapterSeal weights.Seal
	// VerifiedAt is the time at which the verification that made the seals ended.
	VerifiedAt time.Time
}
