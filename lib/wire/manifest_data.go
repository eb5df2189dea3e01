package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ManifestData replies to a ManifestFetch with the encoded manifest.
type ManifestData struct {
	Manifest model.Digest `msgpack:"m"`
	Data     []byte       `msgpack:"d"`
}

// Type returns TypeManifestData.
func (*ManifestData) Type() Type { return TypeManifestData }
