package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ManifestRefused replies to a ManifestFetch if the peer does not have the manifest.
type ManifestRefused struct {
	Manifest model.Digest `msgpack:"m"`
}

// Type returns TypeManifestRefused.
func (*ManifestRefused) Type() Type { return TypeManifestRefused }
