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
	// since is the time of the declaration, or when this process learned of it.
	since time.Time
}

// pendingVersion is a fetched version that is waiting to be loaded.
type pendingVersion struct {
	target
	pieces *pieceSet
	// loadAfter is the time from which the engine may load it.
	loadAfter time.Time
	// verification is the current pass over the staged pieces, or nil.
	verification *verification
	// reduced are the layers to order instead in one state of the engine.
	reduced reducedTarget
	// loadStarted is when the steps towards the next order began, or zero.
	loadStarted time.Time
}

// runningFetch is a fetch in progress.
type runningFetch struct {
	target
	cancel context.CancelFunc
	// manifestFromOrigin is set if the manifest must be read from the origin,
	// because the last one of this version appeared to be wrong.
	manifestFromOrigin bool
	// pieces is nil until the manifest has been read.
	pieces *pieceSet
}

// engineSource is the source of pieces that were corrupt at the engine.
const engineSource = "engine"

// Stats counts received weights in bytes by source, pieces that failed verification,
// and loads of which the engine had to take layers again.
type Stats struct {
	OriginBytes, PeerBytes, CorruptPieces, Reloads atomic.Int64
}
