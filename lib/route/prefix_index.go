package route

import (
	"time"
)

// prefixIndex knows which prompt blocks instances are believed to have cached.
// Everything in it is a hint: engines report late and with gaps.
//
// Entries decay in two epochs: an entry that is not confirmed during a whole
// epoch is dropped with the epoch's map, without a time per entry.
type prefixIndex struct {
	current, previous map[uint64]bitset
	epochEnds         time.Time
	epoch             time.Duration
	maxBlocks         int
	depths            [maxNumbered]int // result of the last match
}

func newPrefixIndex(ttl time.Duration, maxBlocks int) *prefixIndex {
	return &prefixIndex{
		current:   make(map[uint64]bitset),
		previous:  make(map[uint64]bitset),
		epoch:     ttl / 2,
		maxBlocks: maxBlocks,
	}
}

// rotate begins an epoch when the current one has ended or is full.
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

// add notes blocks as cached by an instance.
func (x *prefixIndex) add(now time.Time, number int, blocks []uint64) {
	if number >= maxNumbered {
		return
	}
	x.rotate(now)
	for _, b := range blocks {
		set := x.current[b]
		if !set.has(number) {
			set.set(number)
			x.current[b] = set
		}
	}
}

// has reports whether a block is believed to be cached anywhere.
func (x *prefixIndex) has(block uint64) bool {
	var none bitset
	return x.current[block] != none || x.previous[block] != none
}

// remove notes that an instance no longer has blocks.
func (x *prefixIndex) remove(number int, blocks []uint64) {
	if number >= maxNumbered {
		return
	}
	for _, m := range []map[uint64]bitset{x.current, x.previous} {
		for _, b := range blocks {
			clearIn(m, b, number)
		}
	}
}

// removeAll forgets an instance. It is rare: the instance left or lost its
// cache, or its events have a gap.
func (x *prefixIndex) removeAll(number int) {
	if number >= maxNumbered {
		return
	}
	for _, m := range []map[uint64]bitset{x.current, x.previous} {
		for b := range m {
			clearIn(m, b, number)
		}
	}
}

func clearIn(m map[uint64]bitset, block uint64, number int) {
	set, ok := m[block]
	if !ok {
		return
	}
	set.clear(number)
	if set.empty() {
		delete(m, block)
		return
	}
	m[block] = set
}

// match calculates for all instances how many leading blocks they have. depth
// returns the result until the next call.
func (x *prefixIndex) match(now time.Time, blocks []uint64) {
	x.rotate(now)
	x.depths = [maxNumbered]int{}
	var alive bitset // instances that have all blocks so far
	for i, b := range blocks {
		set := x.current[b]
		old := x.previous[b]
		var ended bitset
		for w := range set {
			set[w] |= old[w]
			if i > 0 {
				set[w] &= alive[w]
				ended[w] = alive[w] &^ set[w]
			}
		}
		ended.each(func(n int) { x.depths[n] = i })
		alive = set
		if alive.empty() {
			return
		}
	}
	alive.each(func(n int) { x.depths[n] = len(blocks) })
}

func (x *prefixIndex) depth(number int) int {
	if number >= maxNumbered {
		return 0
	}
	return x.depths[number]
}
