package fleet

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// handleCacheUpdate processes a change or snapshot of the prefix cache of an agent's
// engine. It ignores updates that exceed the limits of the protocol.
func (f *Fleet) handleCacheUpdate(hello wire.Hello, m *wire.CacheUpdate) {
	if len(m.Stored) > wire.MaxCacheSnapshot || len(m.Removed) > wire.MaxCacheChanges {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Clock.Now()
	key := route.Key{Instance: hello.Identity.Instance, Generation: hello.Identity.Generation}
	if m.Snapshot {
		f.picker.ApplyCacheSnapshot(now, key, route.CacheSnapshot{Sequence: m.Sequence, Blocks: blockNumbers(m.Stored)})
		return
	}
	event := route.CacheEvent{Sequence: m.Sequence, Stored: blockNumbers(m.Stored), Removed: blockNumbers(m.Removed)}
	if f.picker.ApplyCacheEvent(now, key, event) {
		f.queueCacheFetch(key)
	}
}

// blockNumbers converts cache blocks to the type that the picker uses.
func blockNumbers(blocks []model.Block) []uint64 {
	n := make([]uint64, len(blocks))
	for i, b := range blocks {
		n[i] = uint64(b)
	}
	return n
}

// queueCacheFetch adds an agent to the queue of those whose cache snapshot is
// needed. The caller must hold f.mu.
func (f *Fleet) queueCacheFetch(key route.Key) {
	if !slices.Contains(f.cacheFetchQueue, key) {
		f.cacheFetchQueue = append(f.cacheFetchQueue, key)
	}
}

// sendCacheFetch requests a snapshot from the first agent in the queue, at most once
// per CacheFetchInterval. If the answer is lost, the next update shows a gap and
// the agent is queued again. The caller must hold f.mu.
func (f *Fleet) sendCacheFetch(now time.Time) {
	if len(f.cacheFetchQueue) == 0 || now.Sub(f.cacheFetchedAt) < f.cfg.CacheFetchInterval {
		return
	}
	key := f.cacheFetchQueue[0]
	f.cacheFetchQueue = f.cacheFetchQueue[1:]
	for _, c := range f.conns {
		if c.hello.Identity.Instance == key.Instance && c.hello.Identity.Generation == key.Generation {
			f.cacheFetchedAt = now
			_ = c.send(&wire.CacheFetch{})
			return
		}
	}
}
