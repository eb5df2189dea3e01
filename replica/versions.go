package replica

import (
	"context"
	"sync/atomic"
	"time"
)

// target is a declared version.
type target struct {
	model   string
	version int
	// since is when it was declared, or when this process learned of it.
	since time.Time
}

// pendingVersion is a fetched version that waits for its turn.
type pendingVersion struct {
	target
	holdings *holdings
	// turn is when the engine may take it.
	turn time.Time
}

// runningFetch is a fetch on its way.
type runningFetch struct {
	target
	cancel context.CancelFunc
	// suspect tells that the last manifest of this version seemed wrong.
	suspect bool
	// holdings is nil until the manifest has been read.
	holdings *holdings
}

// Stats counts bytes of weights by source.
type Stats struct {
	OriginBytes, PeerBytes, CorruptPieces atomic.Int64
}
