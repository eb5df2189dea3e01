package route

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence starts at 1 and increases by one with each event of a generation.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
}

// CacheSnapshot is the complete content of an engine's prefix cache after the
// event with number Sequence.
type CacheSnapshot struct {
	Sequence uint64
	Blocks   []uint64
}

// cacheSync detects gaps in the cache events of one generation.
type cacheSync struct {
	lastSequence uint64
	// unsynced is set from a gap until the next snapshot. Meanwhile only the
	// entry's own requests add blocks to the index.
	unsynced bool
}

// cacheAction tells what to do with a cache event.
type cacheAction uint8

const (
	cacheApply cacheAction = iota
	cacheIgnore
	cacheGap
)

func (c *cacheSync) check(sequence uint64) cacheAction {
	switch {
	case sequence <= c.lastSequence:
		return cacheIgnore
	case c.unsynced || sequence != c.lastSequence+1:
		c.unsynced = true
		return cacheGap
	}
	c.lastSequence = sequence
	return cacheApply
}
