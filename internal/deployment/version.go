package deployment

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Version is one published version of the model.
type Version struct {
	Name    string
	Digest  model.Digest
	Weights model.Weights
	// ContentDigest is the digest that answers of an engine with exactly this version
	// carry.
	ContentDigest model.Digest
}
