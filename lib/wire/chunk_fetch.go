package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ChunkFetch asks a peer for one chunk by digest.
type ChunkFetch struct {
	RequestID uint64       `msgpack:"q"`
	Chunk     model.Digest `msgpack:"c"`
}

// Type returns TypeChunkFetch.
func (*ChunkFetch) Type() Type { return TypeChunkFetch }
