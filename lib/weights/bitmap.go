package weights

import "math/bits"

// Bitmap marks chunks of a manifest, least significant bit first. Messages
// between processes carry it in this encoding.
type Bitmap []byte

// NewBitmap returns an empty bitmap for a number of chunks.
func NewBitmap(chunks int) Bitmap { return make(Bitmap, (chunks+7)/8) }

// Get reports whether a chunk is marked. Indexes beyond the bitmap are unmarked.
func (b Bitmap) Get(index int) bool {
	return index >= 0 && index/8 < len(b) && b[index/8]&(1<<(index%8)) != 0
}

// Set marks a chunk. It panics if index is beyond the bitmap.
func (b Bitmap) Set(index int) { b[index/8] |= 1 << (index % 8) }

// Clear unmarks a chunk. It panics if index is beyond the bitmap.
func (b Bitmap) Clear(index int) { b[index/8] &^= 1 << (index % 8) }

// Count returns the number of marked chunks.
func (b Bitmap) Count() int {
	n := 0
	for _, v := range b {
		n += bits.OnesCount8(v)
	}
	return n
}

// Clone returns an independent copy.
func (b Bitmap) Clone() Bitmap { return append(Bitmap(nil), b...) }
