package wire

// ChunkRefused answers a ChunkFetch that the peer does not serve now.
type ChunkRefused struct {
	RequestID uint64 `msgpack:"q"`
	// Busy is true when the peer has the chunk but no free upload slot.
	Busy bool `msgpack:"b"`
}

// Type returns TypeChunkRefused.
func (*ChunkRefused) Type() Type { return TypeChunkRefused }
