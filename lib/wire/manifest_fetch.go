package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ManifestFetch requests an encoded manifest.
type ManifestFetch struct {
	Manifest model.Digest `msgpack:"m"`
}

// Type returns TypeManifestFetch.
func (*ManifestFetch) Type() Type { return TypeManifestFetch }
