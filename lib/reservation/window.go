package reservation

// wordBits is the number of sequence numbers in one word of the bitmap.
const wordBits = 64

// window records which of the most recent sequence numbers were used.
type window struct {
	highest uint64 // sequence number
	bits    []uint64
}

func newWindow(size int) *window {
	return &window{bits: make([]uint64, (size+wordBits-1)/wordBits)}
}

// redeem marks a number as used. The bitmap slides by whole words, so it covers
// at least size - wordBits numbers below the highest.
func (w *window) redeem(seq uint64) Verdict {
	if seq == 0 {
		return VerdictInvalid
	}
	word := seq / wordBits
	topWord := w.highest / wordBits
	count := uint64(len(w.bits))
	switch {
	case word > topWord:
		for i := topWord + 1; i <= word && i <= topWord+count; i++ {
			w.bits[i%count] = 0
		}
	case topWord-word >= count:
		return VerdictTooOld
	}
	w.highest = max(w.highest, seq)
	mask := uint64(1) << (seq % wordBits)
	if w.bits[word%count]&mask != 0 {
		return VerdictUsed
	}
	w.bits[word%count] |= mask
	return VerdictAccepted
}
