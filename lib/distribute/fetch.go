package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Fetch asks the owner of a Downloader to transfer one chunk.
type Fetch struct {
	// ID names the fetch in Progress and Finished.
	ID uint64
	// Object and Offset locate the chunk at the origin, in bytes.
	Object string
	Offset int64
	Chunk  weights.Chunk
	// Source is a peer address, or Origin.
	Source string
	// Attempt counts the origin fetches of this chunk. The owner alternates
	// between the origin and the weight store by it.
	Attempt int
}

// Result says how a fetch ended.
type Result uint8

// Results of a fetch.
const (
	// Delivered means that the chunk was verified and stored.
	Delivered Result = iota + 1
	// Corrupt means that the bytes did not match the digest.
	Corrupt
	// Absent means that the source does not hold the chunk.
	Absent
	// Busy means that the source had no free slot.
	Busy
	// Failed means that the connection or the read failed.
	Failed
	// Throttled means that the source asked to come back later.
	Throttled
	// Stalled means that the progress deadline passed. Only the Downloader
	// itself gives this result.
	Stalled
)

// Actions is what the owner of a Downloader does next.
type Actions struct {
	Start []Fetch
	// Cancel lists fetches whose results are no longer wanted. What the owner
	// has received of an origin range it may keep and resume from.
	Cancel []uint64
	// Announce is sent to the tracker when it is set.
	Announce *wire.Announce
	// QueryPeers lists peers whose bitmaps are wanted, without a tracker.
	QueryPeers []string
	// StalledSources lists the sources of fetches that just stalled.
	StalledSources []string
	Done           bool
}

// fetching is a fetch in flight.
type fetching struct {
	Fetch
	grant    uint64
	started  time.Time
	received int64
	progress time.Time // last time that bytes arrived
}

// assigned is an assignment that has not been started.
type assigned struct {
	grant    uint64
	chunk    weights.Chunk
	source   string
	deadline time.Time
}
