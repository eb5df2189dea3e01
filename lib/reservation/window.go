package reservation

// wordBits is the number of sequence numbers in one word of the bitmap.
const wordBits = 64

// window remembers which of the last numbers were used.
type window struct {
	top  uint64 // highest number seen
	bits []uint64
}

func newWindow(size int) *window {
	return &window{bits: make([]uint64, (size+wordBits-1)/wordBits)}
}

// use marks a number. The bitmap slides by whole words, so it remembers at
// least size - wordBits numbers below the highest.
func (w *window) use(seq uint64) Verdict {
	if seq == 0 {
		return VerdictInvalid
	}
	word := seq / wordBits
	topWord := w.top / wordBits
	count := uint64(len(w.bits))
	switch {
	case word > topWord:
		for i := topWord + 1; i <= word && i <= topWord+count; i++ {
			w.bits[i%count] = 0
		}
	case topWord-word >= count:
		return VerdictTooOld
	}
	w.top = max(w.top, seq)
	mask := uint64(1) << (seq % wordBits)
	if w.bits[word%count]&mask != 0 {
		return VerdictUsed
	}
	w.bits[word%count] |= mask
	return VerdictAccepted
}
