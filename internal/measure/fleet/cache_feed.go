package fleet

import (
	"math/rand/v2"

	"github.com/auburnbend/auburnbend/lib/route"
)

// cacheFeed publishes the cache events of one engine to one entry: late, and
// with losses that show as gaps.
type cacheFeed struct {
	entry    *entry
	key      route.Key
	rng      *rand.Rand
	sequence uint64
	seen     int // changes of the cache that were published
	syncing  bool
}

// cacheEvents begins the feeds of all engines.
func (e *entry) cacheEvents() {
	for i, key := range e.keys {
		seed := e.sim.cfg.Seed + uint64(i)<<32
		f := &cacheFeed{entry: e, key: key, rng: rand.New(rand.NewPCG(seed, 7))}
		f.publish()
	}
}

func (f *cacheFeed) publish() {
	sim, cfg := f.entry.sim, f.entry.sim.cfg.Engine
	cache := f.entry.engines[f.key].cache
	stored, removed := cache.changesAfter(f.seen)
	f.seen = len(cache.log)
	if len(stored)+len(removed) > 0 {
		f.sequence++
		event := route.CacheEvent{Sequence: f.sequence, Stored: stored, Removed: removed}
		if f.rng.Float64() >= cfg.CacheLoss {
			sim.time.after(cfg.CacheLag, func() { f.deliver(event) })
		}
	}
	sim.time.after(cfg.CacheLag, f.publish)
}

func (f *cacheFeed) deliver(event route.CacheEvent) {
	sim := f.entry.sim
	if !f.entry.picker.ApplyCacheEvent(sim.time.now, f.key, event) || f.syncing {
		return
	}
	f.syncing = true
	snapshot := route.CacheSnapshot{Sequence: f.sequence, Blocks: f.entry.engines[f.key].cache.all()}
	sim.time.after(sim.cfg.Engine.CacheLag, func() {
		f.syncing = false
		f.entry.picker.ApplyCacheSnapshot(sim.time.now, f.key, snapshot)
	})
}
