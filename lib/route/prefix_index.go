package route

import (
	"time"
)

// prefixIndex records which prompt blocks the instances are believed to have
// cached. All of it is a hint, because engines report late and with gaps.
//
// Blocks expire by epoch: a block that is not confirmed during a whole epoch is
// dropped together with the map of that epoch, so no block needs a timestamp.
type prefixIndex struct {
	current, previous map[uint64]bitset
	epochEnds         time.Time
	epoch             time.Duration
	maxBlocks         int
	depths            [maxIndexed]int // result of the last match, by slot index
}

func newPrefixIndex(ttl time.Duration, maxBlocks int) *prefixIndex {
	return &prefixIndex{
		current:   make(map[uint64]bitset),
		previous:  make(map[uint64]bitset),
		epoch:     ttl / 2,
		maxBlocks: maxBlocks,
	}
}

// rotate starts a new epoch if the current one has ended or is full.
func (x *prefixIndex) rotate(now time.Time) {
	if now.Before(x.epochEnds) && len(x.current) < x.maxBlocks {
		return
	}
	x.previous, x.current = x.current, x.previous
	clear(x.current)
	if now.Sub(x.epochEnds) >= x.epoch {
		clear(x.previous)
	}
	x.epochEnds = now.Add(x.epoch)
}

// add records blocks as cached by an instance.
func (x *prefixIndex) add(now time.Time, index int, blocks []uint64) {
	if index >= maxIndexed {
		return
	}
	x.rotate(now)
	for _, b := range blocks {
		set := x.current[b]
		if !set.has(index) {
			set.set(index)
			x.current[b] = set
		}
	}
}

// has reports whether a block is believed to be cached on any instance.
func (x *prefixIndex) has(block uint64) bool {
	var none bitset
	return x.current[block] != none || x.previous[block] != none
}

// remove records that an instance no longer caches blocks.
func (x *prefixIndex) remove(index int, blocks []uint64) {
	if index >= maxIndexed {
		return
	}
	for _, m := range []map[uint64]bitset{x.current, x.previous} {
		for _, b := range blocks {
			clearInstance(m, b, index)
		}
	}
}

// removeAll removes all blocks of an instance. It scans the whole index, which
// is acceptable because it is rare: the instance left, lost its cache, or its
// events have a gap.
func (x *prefixIndex) removeAll(index int) {
	if index >= maxIndexed {
		return
	}
	for _, m := range []map[uint64]bitset{x.current, x.previous} {
		for b := range m {
			clearInstance(m, b, index)
		}
	}
}

func clearInstance(m map[uint64]bitset, block uint64, index int) {
	set, ok := m[block]
	if !ok {
		return
	}
	set.clear(index)
	if set.empty() {
		delete(m, block)
		return
	}
	m[block] = set
}

// match computes, for each instance, the number of leading blocks that it has
// cached. depth returns the result until the next call.
func (x *prefixIndex) match(now time.Time, blocks []uint64) {
	x.rotate(now)
	x.depths = [maxIndexed]int{}
	var matching bitset // instances that have cached all blocks so far
	for i, b := range blocks {
		set := x.current[b]
		old := x.previous[b]
		var ended bitset
		for w := range set {
			set[w] |= old[w]
			if i > 0 {
				set[w] &= matching[w]
				ended[w] = matching[w] &^ set[w]
			}
		}
		ended.each(func(n int) { x.depths[n] = i })
		matching = set
		if matching.empty() {
			return
		}
	}
	matching.each(func(n int) { x.depths[n] = len(blocks) })
}

func (x *prefixIndex) depth(index int) int {
	if index >= maxIndexed {
		return 0
	}
	return x.depths[index]
}
