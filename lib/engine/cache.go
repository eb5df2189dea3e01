package engine

import "github.com/auburnbend/auburnbend/lib/model"

// CacheChange says what happened to a prefix.
type CacheChange string

const (
	// CacheStored means that the prefix is cached now.
	CacheStored CacheChange = "stored"
	// CacheEvicted means that it no longer is.
	CacheEvicted CacheChange = "evicted"
	// CacheCleared means that no prefix is cached any more.
	CacheCleared CacheChange = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Events arrive late and
// some never arrive: they are hints.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Change   CacheChange   `json:"change"`
	Prefix   PrefixHash    `json:"prefix"`
	Weights  model.Weights `json:"weights"`
}

// CacheEventBatch answers a read of events.
type CacheEventBatch struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// CacheSnapshot lists all cached prefixes as of a sequence number.
type CacheSnapshot struct {
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Weights     model.Weights `json:"weights"`
	Prefixes    []PrefixHash  `json:"prefixes"`
}

// CacheCursor follows the events of one engine and finds gaps. It is not safe
// for concurrent use.
type CacheCursor struct {
	incarnation uint64
	next        uint64
}

// After returns the sequence number to ask for events after.
func (c *CacheCursor) After() uint64 { return c.next }

// Accept returns the events of a batch that continue the last ones, and whether
// events are missing before or between them, or the engine restarted. The
// caller then reads a snapshot and passes it to Reset.
func (c *CacheCursor) Accept(batch CacheEventBatch) (events []CacheEvent, resync bool) {
	if batch.Incarnation != c.incarnation {
		return nil, true
	}
	for _, e := range batch.Events {
		if e.Sequence <= c.next {
			continue
		}
		if e.Sequence != c.next+1 {
			return events, true
		}
		c.next = e.Sequence
		events = append(events, e)
	}
	return events, false
}

// Reset continues after a snapshot.
func (c *CacheCursor) Reset(s CacheSnapshot) { c.incarnation, c.next = s.Incarnation, s.Sequence }
