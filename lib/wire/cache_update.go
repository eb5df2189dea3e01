package wire

import "github.com/auburnbend/auburnbend/lib/model"

const (
	// MaxCacheChanges is the maximum number of changes in one CacheUpdate. An entry has
	// about 60 connections. With one full update of about 60 bytes on each of them
	// every 3 s, in addition to heartbeats, its control traffic stays within 8 KB/s.
	MaxCacheChanges = 8
	// MaxCacheSnapshot is the maximum number of blocks in a snapshot, which limits its
	// size to about 1.3 KB. An entry requests one snapshot per second over all its
	// connections.
	MaxCacheSnapshot = 256
)

// CacheUpdate informs an entry of changes to the prefix cache of an engine. Updates are
// hints: they can be late or missing.
type CacheUpdate struct {
	// Sequence numbers the updates of an agent generation, starting from 1. A snapshot
	// has the sequence number of the last update that it includes.
	Sequence uint64 `msgpack:"s"`
	// Snapshot means that Stored lists all blocks, and replaces what the entry knows.
	Snapshot bool          `msgpack:"p,omitempty"`
	Stored   []model.Block `msgpack:"a,omitempty"`
	Removed  []model.Block `msgpack:"r,omitempty"`
}

// Type returns TypeCacheUpdate.
func (*CacheUpdate) Type() Type { return TypeCacheUpdate }
