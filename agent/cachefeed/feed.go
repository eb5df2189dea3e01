// Package cachefeed turns the cache events of an engine into the updates that
// entries get. It is pure and not safe for concurrent use.
package cachefeed

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Feed compares what the engine has cached with what entries were told. Several
// changes of one block between two updates cost one change or none, and changes
// that do not fit into an update wait for the next one.
type Feed struct {
	cursor engine.CacheCursor
	// cached are the newest blocks that the engine has, oldest first.
	cached []model.Block
	// told are the blocks that entries know of by updates.
	told []model.Block
	// gone are blocks that were evicted before entries were told of them. They
	// are removed all the same: the entry that sent the request expects them.
	gone     []model.Block
	sequence uint64
}

// After returns the sequence number to ask the engine for events after.
func (f *Feed) After() uint64 { return f.cursor.After() }

// Accept takes a batch of events. When it returns true the caller reads a
// snapshot of the engine's cache and hands it to Reset.
func (f *Feed) Accept(batch engine.CacheEventBatch) (resync bool) {
	events, resync := f.cursor.Accept(batch)
	for _, e := range events {
		switch e.Change {
		case engine.CacheStored:
			f.store(e.Prefix.Block(e.Weights))
		case engine.CacheEvicted:
			f.evict(e.Prefix.Block(e.Weights))
		case engine.CacheCleared:
			f.cached = nil
		}
	}
	return resync
}

// Reset takes a snapshot of the engine's cache.
func (f *Feed) Reset(s engine.CacheSnapshot) {
	f.cursor.Reset(s)
	f.cached = nil
	for _, p := range s.Prefixes {
		f.store(p.Block(s.Weights))
	}
}

func (f *Feed) store(b model.Block) {
	f.cached = keepNewest(append(without(f.cached, b), b))
	f.gone = without(f.gone, b)
}

func (f *Feed) evict(b model.Block) {
	f.cached = without(f.cached, b)
	if !slices.Contains(f.told, b) {
		f.gone = keepNewest(append(without(f.gone, b), b))
	}
}

// NextUpdate returns the next update, or nil when nothing has changed. Removed
// blocks come first: a wrong hint sends requests to a busy instance for nothing,
// a missing one costs a prefill.
func (f *Feed) NextUpdate() *wire.CacheUpdate {
	u := &wire.CacheUpdate{}
	room := wire.MaxCacheChanges
	for _, b := range f.told {
		if room > 0 && !slices.Contains(f.cached, b) {
			u.Removed = append(u.Removed, b)
			room--
		}
	}
	for _, b := range f.gone[:min(room, len(f.gone))] {
		u.Removed = append(u.Removed, b)
		room--
	}
	// Newest first: the oldest are the next to be evicted.
	for _, b := range slices.Backward(f.cached) {
		if room > 0 && len(f.told)-len(u.Removed)+len(u.Stored) < wire.MaxCacheSnapshot && !slices.Contains(f.told, b) {
			u.Stored = append(u.Stored, b)
			room--
		}
	}
	if len(u.Removed)+len(u.Stored) == 0 {
		return nil
	}
	removed := func(b model.Block) bool { return slices.Contains(u.Removed, b) }
	f.gone = slices.DeleteFunc(f.gone, removed)
	f.told = append(slices.DeleteFunc(f.told, removed), u.Stored...)
	f.sequence++
	u.Sequence = f.sequence
	return u
}

// Snapshot returns all that entries were told.
func (f *Feed) Snapshot() *wire.CacheUpdate {
	return &wire.CacheUpdate{Sequence: f.sequence, Snapshot: true, Stored: slices.Clone(f.told)}
}

func without(blocks []model.Block, b model.Block) []model.Block {
	return slices.DeleteFunc(blocks, func(other model.Block) bool { return other == b })
}

func keepNewest(blocks []model.Block) []model.Block {
	return blocks[max(0, len(blocks)-wire.MaxCacheSnapshot):]
}
