package transfer

import "sync/atomic"

// Progress reports the transfer of the wanted version. Bytes count since the
// service started; bytes of corrupt and abandoned transfers are included.
type Progress struct {
	TotalChunks, HeldChunks int
	OriginBytes             int64
	StoreBytes              int64
	PeerBytes               int64
	UploadBytes             int64
	// LinkShare is the part of the instance's link that transfers use now.
	LinkShare float64
	// HasTracker is false while the agent works without a tracker.
	HasTracker bool
}

type counters struct {
	origin, store, peer, upload atomic.Int64
	chunks, held                atomic.Int64
	tracked                     atomic.Bool
}

func (c *counters) progress() Progress {
	return Progress{
		TotalChunks: int(c.chunks.Load()), HeldChunks: int(c.held.Load()),
		OriginBytes: c.origin.Load(), StoreBytes: c.store.Load(),
		PeerBytes: c.peer.Load(), UploadBytes: c.upload.Load(),
		HasTracker: c.tracked.Load(),
	}
}
