package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// HolderSummary informs a tracker of another failure domain which agents of the
// sender's domain hold which chunks, so that chunks can be transferred between domains.
type HolderSummary struct {
	Manifest model.Digest   `msgpack:"m"`
	Location model.Location `msgpack:"l"`
	Holders  []Holder       `msgpack:"h"`
}

// Holder is one agent in a HolderSummary.
type Holder struct {
	Address string `msgpack:"a"`
	// ChunkBitmap is a bitmap of the verified chunks, least significant bit first.
	ChunkBitmap []byte `msgpack:"h"`
}

// Type returns TypeHolderSummary.
func (*HolderSummary) Type() Type { return TypeHolderSummary }
