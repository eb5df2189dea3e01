package distribute

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Fetch is a request to the owner of a Downloader to transfer one chunk.
type Fetch struct {
	// ID identifies the fetch in FetchProgress and FetchFinished.
	ID uint64
	// Object and Offset locate the chunk at the origin. Offset is in bytes.
	Object string
	Offset int64
	Chunk  weights.Chunk
	// Source is a peer address, or Origin.
	Source string
	// Attempt is the number of earlier origin fetches of this chunk; it is 0
	// for peers. The owner uses it to alternate between the weight store and
	// the origin.
	Attempt int
}

// Result is the outcome of a fetch.
type Result uint8

// Results of a fetch.
const (
	// Delivered means that the chunk was verified and stored.
	Delivered Result = iota + 1
	// Corrupt means that the received bytes did not match the digest.
	Corrupt
	// Absent means that the source does not hold the chunk.
	Absent
	// Busy means that the source had no free upload slot.
	Busy
	// Failed means that the connection or a read failed.
	Failed
	// Throttled means that the source asked the agent to retry later.
	Throttled
	// Stalled means that a fetch made no progress within the stall timeout.
	// Only the Downloader itself produces this result.
	Stalled
)

// Actions lists what the owner of a Downloader has to do next.
type Actions struct {
	Start []Fetch
	// Cancel lists fetches whose results are no longer needed. The owner may
	// keep what it has received of an origin range and resume from there.
	Cancel []uint64
	// Announce is sent to the tracker if it is not nil.
	Announce *wire.Announce
	// QueryPeers lists peers to query for their bitmaps in trackerless mode.
	QueryPeers []string
	// StalledSources lists the sources of the fetches that stalled in this
	// call.
	StalledSources []string
	// Done reports that all chunks of the target version are held.
	Done bool
}

// activeFetch is a fetch in progress.
type activeFetch struct {
	Fetch
	grant        uint64
	started      time.Time
	received     int64
	lastProgress time.Time // when bytes last arrived
}

// pendingAssignment is an assignment whose fetch has not started yet.
type pendingAssignment struct {
	grant    uint64
	chunk    weights.Chunk
	source   string
	deadline time.Time
}
