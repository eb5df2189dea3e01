package wire

import "github.com/auburnbend/auburnbend/lib/model"

const (
	// MaxCacheChanges bounds the changes in one CacheUpdate. An entry has some 60
	// connections; one full update of about 60 bytes on each of them every three
	// seconds, beside heartbeats, stays within its 8 KB/s of control traffic.
	MaxCacheChanges = 8
	// MaxCacheSnapshot bounds the blocks in a snapshot, to about 1.3 KB. An entry
	// asks for one snapshot per second over all its connections.
	MaxCacheSnapshot = 256
)

// CacheUpdate tells an entry what changed in the prefix cache of an engine.
// Updates are hints: some are late and some are never sent.
type CacheUpdate struct {
	// Sequence grows by one with each update of an agent's generation, from 1. A
	// snapshot has the number of the last update that it includes.
	Sequence uint64 `msgpack:"s"`
	// Snapshot says that Stored lists all blocks that the entry should know.
	Snapshot bool          `msgpack:"p,omitempty"`
	Stored   []model.Block `msgpack:"a,omitempty"`
	Removed  []model.Block `msgpack:"r,omitempty"`
}

// Type returns TypeCacheUpdate.
func (*CacheUpdate) Type() Type { return TypeCacheUpdate }
