package transfer

import "sync/atomic"

// Progress is the state of the transfer of the target version. Byte counts are
// cumulative since the service started and include corrupt and canceled
// transfers.
type Progress struct {
	TotalChunks, HeldChunks int
	OriginBytes             int64
	StoreBytes              int64
	PeerBytes               int64
	UploadBytes             int64
	// LinkShare is the share of the instance's link that transfers may use.
	LinkShare float64
	// HasTracker is false while the agent has no connection to a tracker.
	HasTracker bool
}

// counters holds the values of Progress that several goroutines update.
type counters struct {
	origin, store, peer, upload atomic.Int64
	chunks, held                atomic.Int64
	hasTracker                  atomic.Bool
}

func (c *counters) progress() Progress {
	return Progress{
		TotalChunks: int(c.chunks.Load()), HeldChunks: int(c.held.Load()),
		OriginBytes: c.origin.Load(), StoreBytes: c.store.Load(),
		PeerBytes: c.peer.Load(), UploadBytes: c.upload.Load(),
		HasTracker: c.hasTracker.Load(),
	}
}
