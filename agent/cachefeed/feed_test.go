package cachefeed_test

import (
	"math"
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/agent/cachefeed"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

var (
	current = model.Weights{Base: model.Sum([]byte("current"))}
	other   = model.Weights{Base: model.Sum([]byte("other"))}
)

// storedEvent returns the event that a prefix was stored under the current weights.
func storedEvent(sequence uint64, p engine.PrefixHash) engine.CacheEvent {
	return engine.CacheEvent{Sequence: sequence, Change: engine.CacheStored, Prefix: p, Weights: current}
}

var _ = Describe("A feed of cache events", func() {
	// Guards against cached blocks of one version that attract requests for another.
	It("uses different blocks for the same text under different weights", func() {
		p := engine.HashPrefix([]byte("system prompt"))
		Expect(p.Block(current)).NotTo(Equal(p.Block(other)))
		adapted := model.Weights{Base: current.Base, Adapter: other.Base}
		Expect(p.Block(current)).NotTo(Equal(p.Block(adapted)))
	})

	// Guards against blocks that stay announced after an engine lost them.
	It("removes the blocks that an engine lost in a restart", func() {
		f := &cachefeed.Feed{}
		Expect(f.Accept(engine.CacheEventBatch{Incarnation: 1})).To(BeTrue())
		f.Reset(engine.CacheSnapshot{Incarnation: 1, Sequence: 7, Weights: current, Prefixes: []engine.PrefixHash{1, 2}})
		Expect(f.NextUpdate().Stored).To(ConsistOf(engine.PrefixHash(1).Block(current), engine.PrefixHash(2).Block(current)))
		Expect(f.Accept(engine.CacheEventBatch{Incarnation: 2})).To(BeTrue())
		f.Reset(engine.CacheSnapshot{Incarnation: 2, Weights: current})
		Expect(f.NextUpdate().Removed).To(HaveLen(2))
		Expect(f.NextUpdate()).To(BeNil())
	})

	// Guards against a stale block at the entry that sent the request, which assumes
	// that its prefix is cached.
	It("removes a block that was stored and evicted between two updates", func() {
		f := &cachefeed.Feed{}
		f.Reset(engine.CacheSnapshot{Incarnation: 1})
		f.Accept(engine.CacheEventBatch{Incarnation: 1, Events: []engine.CacheEvent{
			storedEvent(1, 9), {Sequence: 2, Change: engine.CacheEvicted, Prefix: 9, Weights: current},
		}})
		Expect(f.NextUpdate().Removed).To(ConsistOf(engine.PrefixHash(9).Block(current)))
	})

	// Guards against control traffic above the limit of an entry with 60 connections:
	// 8 KB/s, less 2.4 KB/s for idle heartbeats in both directions. The rest must
	// suffice for one snapshot per second and an update on each connection.
	It("limits the size of updates and snapshots", func() {
		f := &cachefeed.Feed{}
		f.Reset(engine.CacheSnapshot{Incarnation: 1})
		rng := rand.New(rand.NewSource(1))
		largest := 0
		for sequence := range uint64(5000) {
			f.Accept(engine.CacheEventBatch{Incarnation: 1, Events: []engine.CacheEvent{storedEvent(sequence+1, engine.PrefixHash(rng.Uint64()))}})
			if sequence%50 != 0 {
				continue
			}
			if u := f.NextUpdate(); u != nil {
				u.Sequence = math.MaxUint64
				frame, err := wire.Append(nil, u)
				Expect(err).NotTo(HaveOccurred())
				largest = max(largest, len(frame))
			}
		}
		var all []engine.PrefixHash
		for range 4 * wire.MaxCacheSnapshot {
			all = append(all, engine.PrefixHash(rng.Uint64()))
		}
		f.Reset(engine.CacheSnapshot{Incarnation: 1, Weights: current, Prefixes: all})
		for f.NextUpdate() != nil {
		}
		Expect(f.Snapshot().Stored).To(HaveLen(wire.MaxCacheSnapshot))
		snapshot, err := wire.Append(nil, f.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("bytes", struct{ Update, Snapshot int }{largest, len(snapshot)})
		Expect(60*largest + len(snapshot)).To(BeNumerically("<=", 8000-2400))
	})

	// Guards against an entry whose view still differs from the engine's cache after
	// all updates have arrived, if events or earlier updates were lost.
	It("brings entries to the state of the engine's cache despite losses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := &cachefeed.Feed{}
			f.Reset(engine.CacheSnapshot{Incarnation: 1})
			cached := map[engine.PrefixHash]bool{}
			known := map[model.Block]bool{}
			var lastReceived, sequence uint64
			gap := false
			deliver := func(u *wire.CacheUpdate) {
				switch {
				case u.Snapshot:
					known, lastReceived, gap = map[model.Block]bool{}, u.Sequence, false
				case u.Sequence != lastReceived+1:
					gap = true
				}
				if gap {
					return
				}
				lastReceived = u.Sequence
				for _, b := range u.Removed {
					delete(known, b)
				}
				for _, b := range u.Stored {
					known[b] = true
				}
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				p := engine.PrefixHash(rapid.Uint64Range(1, 30).Draw(t, "prefix"))
				sequence++
				e := storedEvent(sequence, p)
				if cached[p] {
					e.Change = engine.CacheEvicted
				}
				cached[p] = !cached[p]
				if rapid.IntRange(0, 9).Draw(t, "engine") > 0 {
					if f.Accept(engine.CacheEventBatch{Incarnation: 1, Events: []engine.CacheEvent{e}}) {
						f.Reset(engine.CacheSnapshot{Incarnation: 1, Sequence: sequence, Weights: current, Prefixes: cachedPrefixes(cached)})
					}
				}
				if u := f.NextUpdate(); u != nil && rapid.IntRange(0, 9).Draw(t, "network") > 0 {
					deliver(u)
				}
			}
			f.Reset(engine.CacheSnapshot{Incarnation: 1, Sequence: sequence, Weights: current, Prefixes: cachedPrefixes(cached)})
			for u := f.NextUpdate(); u != nil; u = f.NextUpdate() {
				deliver(u)
			}
			deliver(f.Snapshot())
			for p := range cached {
				if known[p.Block(current)] != cached[p] {
					t.Fatalf("prefix %s: known %v, cached %v", p, known[p.Block(current)], cached[p])
				}
			}
		})
	})
})

// cachedPrefixes returns the prefixes that are in the cache.
func cachedPrefixes(cached map[engine.PrefixHash]bool) []engine.PrefixHash {
	var prefixes []engine.PrefixHash
	for p, ok := range cached {
		if ok {
			prefixes = append(prefixes, p)
		}
	}
	return prefixes
}
