package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ChunkFetch requests one chunk from a peer by its digest.
type ChunkFetch struct {
	// RequestID identifies the request. The reply repeats it.
	RequestID uint64       `msgpack:"q"`
	Chunk     model.Digest `msgpack:"c"`
}

// Type returns TypeChunkFetch.
func (*ChunkFetch) Type() Type { return TypeChunkFetch }
