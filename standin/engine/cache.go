package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// maxEvents is the number of events that are retained for readers.
const maxEvents = 4096

// cache is the prefix cache, with LRU eviction.
type cache struct {
	limit    int
	delay    time.Duration
	loss     float64
	random   *rand.Rand
	prefixes []api.PrefixHash // least recently used first
	sequence uint64
	hits     int
	misses   int
	events   []cacheEvent
}

// cacheEvent is a cache event that readers can see from a given time on.
type cacheEvent struct {
	api.CacheEvent
	visibleAt time.Time
}

// lookup reports whether a prefix is cached and, if so, marks it as recently used.
func (c *cache) lookup(p api.PrefixHash) bool {
	i := slices.Index(c.prefixes, p)
	if i < 0 {
		c.misses++
		return false
	}
	c.hits++
	c.prefixes = append(slices.Delete(c.prefixes, i, i+1), p)
	return true
}

func (c *cache) insert(p api.PrefixHash, w model.Weights, now time.Time) {
	if len(c.prefixes) >= c.limit {
		c.publish(api.CacheEvicted, c.prefixes[0], w, now)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, p)
	c.publish(api.CacheStored, p, w, now)
}

func (c *cache) clear(w model.Weights, now time.Time) {
	c.prefixes = nil
	c.publish(api.CacheCleared, 0, w, now)
}

// publish assigns a sequence number to an event and adds it. A lost event leaves a gap
// in the sequence.
func (c *cache) publish(change api.CacheChange, p api.PrefixHash, w model.Weights, now time.Time) {
	c.sequence++
	if c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, cacheEvent{
		CacheEvent: api.CacheEvent{Sequence: c.sequence, Change: change, Prefix: p, Weights: w},
		visibleAt:  now.Add(c.delay),
	})
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[len(c.events)-maxEvents/2:])
	}
}

func (c *cache) after(sequence uint64, now time.Time) []api.CacheEvent {
	var out []api.CacheEvent
	for _, e := range c.events {
		if e.Sequence > sequence && !now.Before(e.visibleAt) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
