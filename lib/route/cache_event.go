package route

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each event of a generation, from 1.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
}

// CacheSnapshot is the whole prefix cache of an engine after an event.
type CacheSnapshot struct {
	Sequence uint64
	Blocks   []uint64
}

// cacheSync tells gaps in the cache events of one generation.
type cacheSync struct {
	lastSeq uint64
	// unsynced is true from a gap until the next snapshot. Until then only the
	// entry's own requests add blocks.
	unsynced bool
}

// verdict says what to do with a cache event.
type verdict uint8

const (
	cacheApply verdict = iota
	cacheIgnore
	cacheGap
)

func (c *cacheSync) next(sequence uint64) verdict {
	switch {
	case sequence <= c.lastSeq:
		return cacheIgnore
	case c.unsynced || sequence != c.lastSeq+1:
		c.unsynced = true
		return cacheGap
	}
	c.lastSeq = sequence
	return cacheApply
}
