package fleet

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// cacheFrom takes a change of the prefix cache of an agent's engine.
func (f *Fleet) cacheFrom(peer wire.Hello, m *wire.CacheUpdate) {
	if len(m.Stored) > wire.MaxCacheSnapshot || len(m.Removed) > wire.MaxCacheChanges {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	key := route.Key{Instance: peer.Identity.Instance, Generation: peer.Identity.Generation}
	if m.Snapshot {
		f.picker.ApplyCacheSnapshot(now, key, route.CacheSnapshot{Sequence: m.Sequence, Blocks: numbers(m.Stored)})
		return
	}
	event := route.CacheEvent{Sequence: m.Sequence, Stored: numbers(m.Stored), Removed: numbers(m.Removed)}
	if f.picker.ApplyCacheEvent(now, key, event) {
		f.wantCache(key)
	}
}

func numbers(blocks []model.Block) []uint64 {
	n := make([]uint64, len(blocks))
	for i, b := range blocks {
		n[i] = uint64(b)
	}
	return n
}

// wantCache notes that a snapshot of an agent's cache is needed. The caller
// holds the mutex.
func (f *Fleet) wantCache(key route.Key) {
	if !slices.Contains(f.unsynced, key) {
		f.unsynced = append(f.unsynced, key)
	}
}

// fetchCache asks one agent for a snapshot, at most once in an interval. An
// answer that is lost shows as a gap at the next update. The caller holds the
// mutex.
func (f *Fleet) fetchCache(now time.Time) {
	if len(f.unsynced) == 0 || now.Sub(f.synced) < f.cfg.CacheFetchInterval {
		return
	}
	key := f.unsynced[0]
	f.unsynced = f.unsynced[1:]
	for _, c := range f.conns {
		if c.hello.Identity.Instance == key.Instance && c.hello.Identity.Generation == key.Generation {
			f.synced = now
			_ = c.send(&wire.CacheFetch{})
			return
		}
	}
}
