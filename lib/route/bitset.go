package route

import "math/bits"

// maxIndexed is the number of instances that the prefix index can hold. An
// entry connects to about 60; instances beyond the limit have no cache hints.
const maxIndexed = 256

// bitset is a set of slot indexes.
type bitset [maxIndexed / 64]uint64

func (b *bitset) set(n int)   { b[n/64] |= 1 << (n % 64) }
func (b *bitset) clear(n int) { b[n/64] &^= 1 << (n % 64) }

func (b *bitset) empty() bool { return *b == bitset{} }

func (b *bitset) has(n int) bool { return b[n/64]&(1<<(n%64)) != 0 }

// each calls f for each index in the set, in ascending order.
func (b *bitset) each(f func(n int)) {
	for i, word := range b {
		for word != 0 {
			f(i*64 + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}
