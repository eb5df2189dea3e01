package wire

// ChunkRefused replies to a ChunkFetch that the peer cannot serve now.
type ChunkRefused struct {
	RequestID uint64 `msgpack:"q"`
	// Busy means that the peer has the chunk but no free upload slot.
	Busy bool `msgpack:"b"`
}

// Type returns TypeChunkRefused.
func (*ChunkRefused) Type() Type { return TypeChunkRefused }
