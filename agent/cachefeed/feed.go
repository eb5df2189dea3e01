// Package cachefeed converts the prefix cache events of an engine into cache updates
// for entries. It performs no I/O and is not safe for concurrent use.
package cachefeed

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Feed derives updates from the difference between the blocks that the engine has
// cached and those that were announced to entries. Several changes of a block between
// two updates are merged. Changes that do not fit into an update are deferred to the
// next one.
type Feed struct {
	cursor engine.CacheCursor
	// cached holds the newest blocks in the engine's cache, oldest first.
	cached []model.Block
	// announced holds the blocks that entries know of from updates.
	announced []model.Block
	// unannouncedEvictions holds blocks that were evicted before they were announced.
	// Updates remove them too, because the entry that sent the request assumes that
	// they are cached.
	unannouncedEvictions []model.Block
	sequence             uint64
}

// After returns the sequence number after which to request events from the engine.
func (f *Feed) After() uint64 { return f.cursor.After() }

// Accept applies a batch of events. If it returns true, events are missing or the
// engine restarted, and the caller must pass a snapshot of the engine's cache to Reset.
func (f *Feed) Accept(batch engine.CacheEventBatch) (resync bool) {
	events, resync := f.cursor.Accept(batch)
	for _, e := range events {
		switch e.Change {
		case engine.CacheStored:
			f.addBlock(e.Prefix.Block(e.Weights))
		case engine.CacheEvicted:
			f.removeBlock(e.Prefix.Block(e.Weights))
		case engine.CacheCleared:
			f.cached = nil
		}
	}
	return resync
}

// Reset replaces the cached blocks with a snapshot of the engine's cache.
func (f *Feed) Reset(s engine.CacheSnapshot) {
	f.cursor.Reset(s)
	f.cached = nil
	for _, p := range s.Prefixes {
		f.addBlock(p.Block(s.Weights))
	}
}

func (f *Feed) addBlock(b model.Block) {
	f.cached = keepNewest(append(without(f.cached, b), b))
	f.unannouncedEvictions = without(f.unannouncedEvictions, b)
}

func (f *Feed) removeBlock(b model.Block) {
	f.cached = without(f.cached, b)
	if !slices.Contains(f.announced, b) {
		f.unannouncedEvictions = keepNewest(append(without(f.unannouncedEvictions, b), b))
	}
}

// NextUpdate returns the next update, or nil if nothing has changed. Removed blocks
// have precedence: a stale block attracts requests, without any benefit, to an instance
// that may be busy, while a missing one only costs a prefill.
func (f *Feed) NextUpdate() *wire.CacheUpdate {
	u := &wire.CacheUpdate{}
	remaining := wire.MaxCacheChanges
	for _, b := range f.announced {
		if remaining > 0 && !slices.Contains(f.cached, b) {
			u.Removed = append(u.Removed, b)
			remaining--
		}
	}
	for _, b := range f.unannouncedEvictions[:min(remaining, len(f.unannouncedEvictions))] {
		u.Removed = append(u.Removed, b)
		remaining--
	}
	// Newest blocks first, because the oldest are evicted next.
	for _, b := range slices.Backward(f.cached) {
		if remaining > 0 && len(f.announced)-len(u.Removed)+len(u.Stored) < wire.MaxCacheSnapshot && !slices.Contains(f.announced, b) {
			u.Stored = append(u.Stored, b)
			remaining--
		}
	}
	if len(u.Removed)+len(u.Stored) == 0 {
		return nil
	}
	removed := func(b model.Block) bool { return slices.Contains(u.Removed, b) }
	f.unannouncedEvictions = slices.DeleteFunc(f.unannouncedEvictions, removed)
	f.announced = append(slices.DeleteFunc(f.announced, removed), u.Stored...)
	f.sequence++
	u.Sequence = f.sequence
	return u
}

// Snapshot returns a snapshot of all announced blocks.
func (f *Feed) Snapshot() *wire.CacheUpdate {
	return &wire.CacheUpdate{Sequence: f.sequence, Snapshot: true, Stored: slices.Clone(f.announced)}
}

// without removes b from blocks in place.
func without(blocks []model.Block, b model.Block) []model.Block {
	return slices.DeleteFunc(blocks, func(other model.Block) bool { return other == b })
}

// keepNewest returns the last blocks up to the limit of a snapshot.
func keepNewest(blocks []model.Block) []model.Block {
	return blocks[max(0, len(blocks)-wire.MaxCacheSnapshot):]
}
