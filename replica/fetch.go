package replica

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/spread"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// requestQueueSize bounds the queued piece requests per source. The scheduler
	// keeps fewer open.
	requestQueueSize = 64
	// fetchTickInterval is how often a fetch looks for pieces that are due at the
	// origin and for requests that timed out.
	fetchTickInterval = 20 * time.Millisecond
	// idlePeerRequests is the number of concurrent piece requests to peers while
	// the engine serves nothing.
	idlePeerRequests = 10
	// peerListInterval is how often the peer list is read again during a fetch.
	// Reads have a cost, so it is long for a usual fetch; it is short compared with
	// the 12 s within which a restarted fleet must serve again.
	peerListInterval = 1500 * time.Millisecond
	// originRetryDelay and maxOriginRetryDelay bound the delays between failed
	// piece requests to the origin. They are short because all engines wait for an
	// origin that returns, and the remaining transfer may take less time than a
	// long delay.
	originRetryDelay    = 50 * time.Millisecond
	maxOriginRetryDelay = 200 * time.Millisecond
	// maxCorrupt is how often a piece may fail verification before the manifest is
	// read again.
	maxCorrupt = 3
)

// fetch downloads the missing pieces of one version. One goroutine owns the
// scheduler; each source has a goroutine of its own.
type fetch struct {
	replica *Replica
	pieces  *pieceSet
	plan    *spread.Plan
	// addresses holds the agent address of each peer.
	addresses map[string]string
	// started is about the same time on all instances.
	started time.Time
	// originPieceTime is the time that one piece takes on the origin's link.
	originPieceTime time.Duration

	scheduler *spread.Scheduler
	// peerLists delivers the peer lists that are read during the fetch.
	peerLists chan []Peer
	events    chan fetchEvent
	requests  map[string]chan int
	// corrupt counts failed verifications by piece.
	corrupt map[int]int
}

// run fetches until no piece is missing, ctx ends, or the manifest appears to be
// wrong. It reports whether all pieces are present.
func (f *fetch) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.events = make(chan fetchEvent)
	f.requests = make(map[string]chan int)
	f.corrupt = make(map[int]int)
	pieces := len(f.pieces.manifest.Digests)
	f.scheduler = spread.NewScheduler(spread.Config{OriginPieceTime: f.originPieceTime, PeerRequests: f.maxPeerRequests()}, f.plan, pieces, f.pieces.missing(), f.started)
	f.replica.linkDelay.Store(0)
	defer f.replica.linkDelay.Store(0)
	f.requests[spread.Origin] = make(chan int, requestQueueSize)
	go f.fetchFromOrigin(ctx, f.requests[spread.Origin])
	f.connectPlanned(ctx)
	f.peerLists = make(chan []Peer)
	go f.refreshPeers(ctx)
	ticker := time.NewTicker(fetchTickInterval)
	defer ticker.Stop()
	for f.scheduler.Remaining() > 0 {
		f.sendRequests(ctx)
		select {
		case <-ctx.Done():
			return false
		case e := <-f.events:
			if !f.handleEvent(e) {
				return false
			}
		case list := <-f.peerLists:
			f.setPeers(list)
			f.connectPlanned(ctx)
		case <-ticker.C:
		}
	}
	return true
}

// refreshPeers reads the peer list periodically until ctx ends. Agents that
// start together, as after a power loss, first see only the peers that
// registered before them and would otherwise fetch from the origin what others
// already have.
func (f *fetch) refreshPeers(ctx context.Context) {
	for {
		wait(ctx, nil, peerListInterval)
		if ctx.Err() != nil {
			return
		}
		peers, ok := f.replica.listPeers()
		if !ok {
			continue
		}
		select {
		case <-ctx.Done():
		case f.peerLists <- peers:
		}
	}
}

// setPeers computes the plan for the current peers.
func (f *fetch) setPeers(peers []Peer) {
	f.plan = f.replica.newPlan(peers, len(f.pieces.manifest.Digests))
	maps.Copy(f.addresses, f.replica.agentAddresses(peers))
	if f.scheduler != nil {
		f.scheduler.Replan(f.plan)
	}
}

func (f *fetch) connectPlanned(ctx context.Context) {
	for _, id := range f.plan.Peers() {
		f.connect(ctx, id)
	}
}

// maxPeerRequests bounds the concurrent requests to peers, with zero for the
// scheduler's default. It is higher while the engine serves nothing, because no
// live requests queue behind the pieces.
func (f *fetch) maxPeerRequests() int {
	if f.replica.hasWeights() {
		return 0
	}
	return idlePeerRequests
}

func (f *fetch) now() time.Time { return f.replica.config.Clock.Now() }

func (f *fetch) connect(ctx context.Context, id string) {
	if f.requests[id] != nil {
		return
	}
	if f.addresses[id] == "" {
		f.scheduler.PeerLost(id)
		return
	}
	f.requests[id] = make(chan int, requestQueueSize)
	p := &peerConn{id: id, address: f.addresses[id], events: f.events, requests: f.requests[id]}
	go p.run(ctx, f.pieces.manifest.Model, f.pieces.manifest.Version)
}

// sendRequests passes the scheduler's requests to the sources.
func (f *fetch) sendRequests(ctx context.Context) {
	now := f.now()
	for _, id := range f.scheduler.OverdueMembers(now) {
		f.connect(ctx, id)
	}
	for _, req := range f.scheduler.Next(now) {
		select {
		case f.requests[req.Source] <- req.Piece:
		default:
			f.scheduler.Failed(req.Piece, req.Source, false, now)
		}
	}
}

// handleEvent applies one event to the scheduler. It returns false if the
// manifest appears to be wrong.
func (f *fetch) handleEvent(e fetchEvent) bool {
	known := func(piece int) bool { return piece >= 0 && piece < len(f.pieces.manifest.Digests) }
	switch {
	case e.lost || e.piece != peerlink.NoPiece && !known(e.piece):
		f.scheduler.PeerLost(e.source)
	case e.piece == peerlink.NoPiece:
		f.scheduler.SetNarrow(e.source, e.narrow)
		// A peer may have another manifest.
		have := slices.DeleteFunc(e.have, func(piece int) bool { return !known(piece) })
		f.scheduler.Have(e.source, have, f.now())
	case e.err != nil || len(e.data) == 0:
		f.scheduler.Failed(e.piece, e.source, false, f.now())
	case !f.pieces.manifest.Matches(e.piece, e.data):
		f.replica.reportCorrupt(e.source, e.piece)
		f.scheduler.Failed(e.piece, e.source, true, f.now())
		f.corrupt[e.piece]++
		return f.corrupt[e.piece] < maxCorrupt
	default:
		f.replica.countReceived(e.source, len(e.data))
		f.pieces.put(e.piece, e.data)
		if e.source == spread.Origin {
			f.scheduler.Received(e.piece, f.now())
		} else {
			f.scheduler.SetNarrow(e.source, e.narrow)
			f.scheduler.ReceivedFromPeer(e.piece, e.transfer, f.now())
			f.replica.linkDelay.Store(int64(f.scheduler.LinkDelay()))
		}
	}
	return true
}

func (f *fetch) fetchFromOrigin(ctx context.Context, pieces <-chan int) {
	m := f.pieces.manifest
	delays := newBackoff(originRetryDelay, maxOriginRetryDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case piece := <-pieces:
			callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
			origin := f.replica.config.Origin()
			data, err := origin.Piece(callCtx, m.Model, m.Version, piece)
			cancel()
			if err == nil && !m.Matches(piece, data) {
				origin.StopKeepAlive()
			}
			f.replica.recordOriginResult(ctx, err)
			if err != nil {
				wait(ctx, nil, delays.NextBackOff())
			} else {
				delays.Reset()
			}
			select {
			case <-ctx.Done():
			case f.events <- fetchEvent{source: spread.Origin, piece: piece, data: data, err: err}:
			}
		}
	}
}
