package wire

// ChunkData answers a ChunkFetch.
type ChunkData struct {
	RequestID uint64 `msgpack:"q"`
	Data      []byte `msgpack:"d"`
}

// Type returns TypeChunkData.
func (*ChunkData) Type() Type { return TypeChunkData }
