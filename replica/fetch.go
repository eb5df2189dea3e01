package replica

import (
	"context"
	"maps"
	"time"

	"github.com/auburnbend/auburnbend/lib/spread"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// askQueue bounds the pieces that wait to be asked of one source; the
	// scheduler asks for fewer.
	askQueue = 64
	// fetchTick is how often a fetch looks for pieces whose turn at the origin has
	// come, and for sources that are too slow.
	fetchTick = 20 * time.Millisecond
	// idlePeerAsks is the number of pieces that are asked of peers at the same time
	// while the engine serves nothing.
	idlePeerAsks = 10
	// peersInterval is how often the members are read again during a fetch. It is
	// long against the reads of a usual fetch, which cost something, and short
	// against the 12 s in which a restarted fleet must serve again.
	peersInterval = 1500 * time.Millisecond
	// originPause and maxOriginPause bound the pauses between failed calls for
	// pieces. An origin that returns is to be asked soon: what it still has to send
	// may take less time than a pause, and all engines wait for it.
	originPause    = 50 * time.Millisecond
	maxOriginPause = 200 * time.Millisecond
	// maxSpoilt is the number of times that a piece may fail the check before
	// the manifest itself is read again.
	maxSpoilt = 3
)

// fetch brings the missing pieces of one version to the instance. One goroutine
// owns the scheduler; each source has one of its own.
type fetch struct {
	replica  *Replica
	holdings *holdings
	plan     *spread.Plan
	// addresses gives the address of each peer's agent.
	addresses map[string]string
	// started is about the same time on all instances.
	started time.Time
	// originTime is the time that the origin's link takes for one piece.
	originTime time.Duration

	scheduler *spread.Scheduler
	// lists are the members as they are read during the fetch.
	lists  chan []Peer
	events chan fetchEvent
	asks   map[string]chan int
	// spoilt counts failed checks by piece.
	spoilt map[int]int
}

// run fetches until all pieces are here, ctx ends, or the manifest proves
// wrong. It reports whether all pieces are here.
func (f *fetch) run(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.events = make(chan fetchEvent)
	f.asks = make(map[string]chan int)
	f.spoilt = make(map[int]int)
	pieces := len(f.holdings.manifest.Digests)
	f.scheduler = spread.NewScheduler(spread.Config{OriginPieceTime: f.originTime, PeerRequests: f.peerAsks()}, f.plan, pieces, f.holdings.missing(), f.started)
	f.asks[spread.Origin] = make(chan int, askQueue)
	go f.askOrigin(ctx, f.asks[spread.Origin])
	f.connectPlanned(ctx)
	f.lists = make(chan []Peer)
	go f.readPeers(ctx)
	ticker := time.NewTicker(fetchTick)
	defer ticker.Stop()
	for f.scheduler.Remaining() > 0 {
		f.ask(ctx)
		select {
		case <-ctx.Done():
			return false
		case e := <-f.events:
			if !f.take(e) {
				return false
			}
		case list := <-f.lists:
			f.follow(list)
			f.connectPlanned(ctx)
		case <-ticker.C:
		}
	}
	return true
}

// readPeers reads the members again and again until ctx ends. Agents that start
// together, as after a loss of power, see only those that were registered
// before them, and without this would fetch from the origin what others have.
func (f *fetch) readPeers(ctx context.Context) {
	for {
		wait(ctx, nil, peersInterval)
		if ctx.Err() != nil {
			return
		}
		peers, known := f.replica.peers()
		if !known {
			continue
		}
		select {
		case <-ctx.Done():
		case f.lists <- peers:
		}
	}
}

// follow plans with the members as they are now.
func (f *fetch) follow(peers []Peer) {
	f.plan = f.replica.plan(peers, len(f.holdings.manifest.Digests))
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

// peerAsks bounds the pieces on their way: more of them where no live requests
// wait behind them.
func (f *fetch) peerAsks() int {
	if f.replica.serving() {
		return 0
	}
	return idlePeerAsks
}

func (f *fetch) now() time.Time { return f.replica.config.Clock.Now() }

func (f *fetch) connect(ctx context.Context, id string) {
	if f.asks[id] != nil {
		return
	}
	if f.addresses[id] == "" {
		f.scheduler.PeerLost(id)
		return
	}
	f.asks[id] = make(chan int, askQueue)
	p := &peer{id: id, address: f.addresses[id], events: f.events, asks: f.asks[id]}
	go p.run(ctx, f.holdings.manifest.Model, f.holdings.manifest.Version)
}

// ask passes the scheduler's choices on.
func (f *fetch) ask(ctx context.Context) {
	now := f.now()
	for _, id := range f.scheduler.OverdueMembers(now) {
		f.connect(ctx, id)
	}
	for _, a := range f.scheduler.Next(now) {
		select {
		case f.asks[a.Source] <- a.Piece:
		default:
			f.scheduler.Failed(a.Piece, a.Source, false, now)
		}
	}
}

// take handles one event. It reports false if the manifest seems wrong.
func (f *fetch) take(e fetchEvent) bool {
	switch {
	case e.lost:
		f.scheduler.PeerLost(e.source)
	case e.piece == peerlink.NoPiece:
		f.scheduler.Have(e.source, e.have, f.now())
	case e.err != nil || len(e.data) == 0:
		f.scheduler.Failed(e.piece, e.source, false, f.now())
	case !f.holdings.manifest.Matches(e.piece, e.data):
		f.replica.spoilt(e.source, e.piece)
		f.scheduler.Failed(e.piece, e.source, true, f.now())
		f.spoilt[e.piece]++
		return f.spoilt[e.piece] < maxSpoilt
	default:
		f.replica.received(e.source, len(e.data))
		f.holdings.put(e.piece, e.data)
		f.scheduler.Received(e.piece, f.now())
	}
	return true
}

func (f *fetch) askOrigin(ctx context.Context, pieces <-chan int) {
	m := f.holdings.manifest
	pauses := newBackoff(originPause, maxOriginPause)
	for {
		select {
		case <-ctx.Done():
			return
		case piece := <-pieces:
			callCtx, cancel := context.WithTimeout(ctx, originTimeout)
			data, err := f.replica.config.Origin().Piece(callCtx, m.Model, m.Version, piece)
			cancel()
			f.replica.noteOrigin(ctx, err)
			if err != nil {
				wait(ctx, nil, pauses.NextBackOff())
			} else {
				pauses.Reset()
			}
			select {
			case <-ctx.Done():
			case f.events <- fetchEvent{source: spread.Origin, piece: piece, data: data, err: err}:
			}
		}
	}
}
