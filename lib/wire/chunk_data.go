package wire

// ChunkData replies to a ChunkFetch with the data of the chunk.
type ChunkData struct {
	RequestID uint64 `msgpack:"q"`
	Data      []byte `msgpack:"d"`
}

// Type returns TypeChunkData.
func (*ChunkData) Type() Type { return TypeChunkData }
