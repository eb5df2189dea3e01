package deployment

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Version is a published version of the model.
type Version struct {
	Name    string
	Digest  model.Digest
	Weights model.Weights
	// ContentDigest is the digest in the answers of an engine that has loaded exactly
	// this version.
	ContentDigest model.Digest
}
