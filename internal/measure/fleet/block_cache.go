package fleet

import "container/list"

// blockCache is a prefix cache of limited size that evicts the least recently
// used block. It logs its changes for cache events.
type blockCache struct {
	capacity int        // in blocks
	lru      *list.List // of uint64, most recently used in front
	blocks   map[uint64]*list.Element
	changes  []cacheChange
}

// cacheChange records that one block was stored or removed.
type cacheChange struct {
	block   uint64
	removed bool
}

// changesAfter returns the net effect of the changes from position on.
func (c *blockCache) changesAfter(position int) (stored, removed []uint64) {
	seen := make(map[uint64]bool)
	for _, ch := range c.changes[position:] {
		if seen[ch.block] {
			continue
		}
		seen[ch.block] = true
		if c.blocks[ch.block] != nil {
			stored = append(stored, ch.block)
		} else {
			removed = append(removed, ch.block)
		}
	}
	return stored, removed
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, lru: list.New(), blocks: make(map[uint64]*list.Element)}
}

// lookup returns how many leading blocks are cached. It marks them as used from
// the last to the first, so that a prefix is evicted from its end.
func (c *blockCache) lookup(blocks []uint64) int {
	n := 0
	for n < len(blocks) && c.blocks[blocks[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[blocks[i]])
	}
	return n
}

func (c *blockCache) store(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if el := c.blocks[b]; el != nil {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.changes = append(c.changes, cacheChange{block: b})
	}
	for len(c.blocks) > c.capacity {
		last := c.lru.Back()
		b := c.lru.Remove(last).(uint64)
		delete(c.blocks, b)
		c.changes = append(c.changes, cacheChange{block: b, removed: true})
	}
}

func (c *blockCache) all() []uint64 {
	out := make([]uint64, 0, len(c.blocks))
	for el := c.lru.Front(); el != nil; el = el.Next() {
		out = append(out, el.Value.(uint64))
	}
	return out
}
