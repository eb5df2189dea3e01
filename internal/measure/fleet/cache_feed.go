package fleet

import (
	"math/rand/v2"

	"github.com/auburnbend/auburnbend/lib/route"
)

// cacheFeed delivers the cache events of one engine to one entry, with a delay
// and with losses. The entry sees a loss as a gap in the sequence numbers.
type cacheFeed struct {
	entry     *entry
	key       route.Key
	rng       *rand.Rand
	sequence  uint64
	published int // cache changes published so far
	syncing   bool
}

// startCacheFeeds starts a feed from each engine.
func (e *entry) startCacheFeeds() {
	for i, key := range e.keys {
		seed := e.sim.cfg.Seed + uint64(i)<<32
		f := &cacheFeed{entry: e, key: key, rng: rand.New(rand.NewPCG(seed, 7))}
		f.publish()
	}
}

func (f *cacheFeed) publish() {
	sim, cfg := f.entry.sim, f.entry.sim.cfg.Engine
	cache := f.entry.engines[f.key].cache
	stored, removed := cache.changesAfter(f.published)
	f.published = len(cache.changes)
	if len(stored)+len(removed) > 0 {
		f.sequence++
		event := route.CacheEvent{Sequence: f.sequence, Stored: stored, Removed: removed}
		if f.rng.Float64() >= cfg.CacheEventLoss {
			sim.scheduler.after(cfg.CacheEventDelay, func() { f.deliver(event) })
		}
	}
	sim.scheduler.after(cfg.CacheEventDelay, f.publish)
}

func (f *cacheFeed) deliver(event route.CacheEvent) {
	sim := f.entry.sim
	if !f.entry.picker.ApplyCacheEvent(sim.scheduler.now, f.key, event) || f.syncing {
		return
	}
	f.syncing = true
	snapshot := route.CacheSnapshot{Sequence: f.sequence, Blocks: f.entry.engines[f.key].cache.all()}
	sim.scheduler.after(sim.cfg.Engine.CacheEventDelay, func() {
		f.syncing = false
		f.entry.picker.ApplyCacheSnapshot(sim.scheduler.now, f.key, snapshot)
	})
}
