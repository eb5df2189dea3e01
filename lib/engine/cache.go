package engine

import "github.com/auburnbend/auburnbend/lib/model"

// CacheChange is the kind of a cache event.
type CacheChange string

const (
	// CacheStored reports that the prefix was added to the cache.
	CacheStored CacheChange = "stored"
	// CacheEvicted reports that the prefix was removed from the cache.
	CacheEvicted CacheChange = "evicted"
	// CacheCleared reports that all prefixes were removed.
	CacheCleared CacheChange = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Events are delayed and
// can be lost, so they are only hints.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Change   CacheChange   `json:"change"`
	Prefix   PrefixHash    `json:"prefix"`
	Weights  model.Weights `json:"weights"`
}

// CacheEventBatch is the response of GET /v1/cache-events.
type CacheEventBatch struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheSnapshot lists all prefixes that were cached at a sequence number.
type CacheSnapshot struct {
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Weights     model.Weights `json:"weights"`
	Prefixes    []PrefixHash  `json:"prefixes"`
}

// CacheCursor tracks the position in the event sequence of one engine and
// detects gaps. It is not safe for concurrent use.
type CacheCursor struct {
	incarnation uint64
	last        uint64
}

// After returns the last sequence number seen, to pass to Client.CacheEvents.
func (c *CacheCursor) After() uint64 { return c.last }

// Accept returns the new events of a batch up to the first gap. resync is true
// if events are missing or the engine restarted; the caller must then read a
// snapshot and pass it to Reset.
func (c *CacheCursor) Accept(batch CacheEventBatch) (events []CacheEvent, resync bool) {
	if batch.Incarnation != c.incarnation {
		return nil, true
	}
	for _, e := range batch.Events {
		if e.Sequence <= c.last {
			continue
		}
		if e.Sequence != c.last+1 {
			return events, true
		}
		c.last = e.Sequence
		events = append(events, e)
	}
	return events, false
}

// Reset moves the cursor to the position of a snapshot.
func (c *CacheCursor) Reset(s CacheSnapshot) { c.incarnation, c.last = s.Incarnation, s.Sequence }
