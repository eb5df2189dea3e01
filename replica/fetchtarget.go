package replica

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/spread"
)

var errNoOrigin = errors.New("the live configuration names no origin")

// fetchTarget starts to fetch the target unless it is here or on its way. A
// fetch of an older version goes on if it is nearly done: an engine that skips a
// version keeps the one before until the newer one has arrived, and all engines
// would then change at the same moment.
func (r *Replica) fetchTarget(ctx context.Context, t target, report *EngineState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pending {
		if p.version == t.version && p.model == t.model {
			return
		}
	}
	if r.staged.is(t.model, t.version) && len(r.staged.missing()) == 0 {
		// The engine has taken the order and loads, or it has restarted since.
		if !report.Busy {
			r.pending = append(r.pending, &pendingVersion{target: t, holdings: r.staged})
		}
		return
	}
	if f := r.fetching; f != nil {
		if f.version == t.version && f.model == t.model || f.holdings != nil && r.worthFinishing(f.holdings, t) {
			return
		}
		f.cancel()
	}
	fetchCtx, cancel := context.WithCancel(ctx)
	f := &runningFetch{target: t, cancel: cancel, suspect: r.suspect == t.version}
	r.fetching = f
	go r.runFetch(fetchCtx, f, len(report.Weights) == 0)
}

// worthFinishing reports whether an older version that is on its way may still
// serve for a while before the target must.
func (r *Replica) worthFinishing(h *holdings, t target) bool {
	if h.share() < finishShare {
		return false
	}
	bound := float64(r.versionTime.Load())
	arrives := r.config.Clock.Now().Add(time.Duration(len(h.missing())) * r.config.OriginPieceTime())
	return arrives.Before(t.since.Add(time.Duration((1 - finishTime) * bound)))
}

// runFetch fetches one version. adopt tells that the engine may hold its pieces
// from before.
func (r *Replica) runFetch(ctx context.Context, f *runningFetch, adopt bool) {
	defer f.cancel()
	began := r.config.Clock.Now()
	h, err := r.fetchVersion(ctx, f, adopt)
	if err != nil {
		wait(ctx, nil, r.nextFetchPause())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching == f {
		r.fetching = nil
	}
	if err == nil {
		r.fetchPauses.Reset()
		r.pending = append(r.pending, &pendingVersion{target: f.target, holdings: h, turn: r.turn(f)})
		r.config.Log.Log(eventlog.ReplicaFetched, "model", f.model, "version", f.version,
			"total_ms", r.config.Clock.Now().Sub(began).Milliseconds(),
			"origin_bytes", r.stats.OriginBytes.Load(), "peer_bytes", r.stats.PeerBytes.Load())
	} else if ctx.Err() == nil {
		if errors.Is(err, errFetch) {
			r.suspect = f.version
		}
		r.config.Log.Log(eventlog.FetchFailed, "model", f.model, "version", f.version, "err", err)
	}
	r.wakeUp()
}

func (r *Replica) nextFetchPause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fetchPauses.NextBackOff()
}

// fetchVersion returns the whole version.
func (r *Replica) fetchVersion(ctx context.Context, f *runningFetch, adopt bool) (*holdings, error) {
	peers, _ := r.peers()
	m, err := r.manifest(ctx, f.target, peers, f.suspect)
	if err != nil {
		return nil, err
	}
	h := newHoldings(m, r.config.Engine)
	if adopt {
		h.adopt(ctx)
	}
	r.mu.Lock()
	f.holdings = h
	r.setStaged(r.staged)
	r.mu.Unlock()
	for len(h.missing()) > 0 {
		if !r.newFetch(h, f.target, peers).run(ctx) {
			return nil, errFetch
		}
	}
	return h, nil
}

var errFetch = errors.New("fetch ended before all pieces were here")

// noteOrigin logs when the origin is lost and when it answers again. ctx is that
// of the caller: a call that it ended tells nothing.
func (r *Replica) noteOrigin(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !r.originLost.Swap(true):
		r.config.Log.Log(eventlog.OriginLost, "err", err)
	case err == nil && r.originLost.Swap(false):
		r.config.Log.Log(eventlog.OriginRegained)
	}
}

// peers returns the engines of the service, and whether they are known. Without
// them the origin still has every piece.
func (r *Replica) peers() ([]Peer, bool) {
	peers, err := r.config.Peers()
	if err != nil {
		r.config.Log.Log(eventlog.PeerListUnavailable, "err", err)
	}
	return peers, err == nil
}

func (r *Replica) newFetch(h *holdings, t target, peers []Peer) *fetch {
	f := &fetch{
		replica: r, holdings: h, addresses: make(map[string]string),
		started: r.fetchStart(t), originTime: r.config.OriginPieceTime(),
	}
	f.follow(peers)
	return f
}

// agentAddresses returns the addresses of the agents of engines.
func (r *Replica) agentAddresses(peers []Peer) map[string]string {
	addresses := make(map[string]string, len(peers))
	for _, p := range peers {
		host, _, err := net.SplitHostPort(p.Address)
		if err == nil && p.Address != r.config.EngineAddress {
			addresses[p.Address] = net.JoinHostPort(host, strconv.Itoa(r.config.PeerPort))
		}
	}
	return addresses
}

// fetchStart is when the members began to fetch a version: at its declaration,
// or now if this one comes much later.
func (r *Replica) fetchStart(t target) time.Time {
	now := r.config.Clock.Now()
	if now.Sub(t.since) < sameStart {
		return t.since
	}
	return now
}

// plan returns the plan among the peers, which also orders the changes of
// weights.
func (r *Replica) plan(peers []Peer, pieces int) *spread.Plan {
	members := make([]spread.Member, 0, len(peers))
	for _, p := range peers {
		members = append(members, spread.Member{ID: p.Address, Region: p.Region})
	}
	plan := spread.NewPlan(spread.Member{ID: r.config.EngineAddress, Region: r.config.Region}, members, pieces)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPlan = plan
	return plan
}

// turn is when this engine may take a version: the engines change one after
// another, so that the others keep serving. The caller holds mu.
func (r *Replica) turn(f *runningFetch) time.Time {
	rank, count := 0, 1
	if r.lastPlan != nil {
		rank, count = r.lastPlan.Rank()
	}
	share := firstOrderShare + (lastOrderShare-firstOrderShare)*float64(rank)/float64(max(1, count-1))
	return f.since.Add(time.Duration(share * float64(r.versionTime.Load())))
}

// holdingsOf returns the pieces of a version that this instance has or fetches,
// and a channel that is closed when that changes.
func (r *Replica) holdingsOf(model string, version int) (*holdings, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.fetching; f != nil && f.holdings.is(model, version) {
		return f.holdings, r.stagedChanged
	}
	for _, p := range r.pending {
		if p.holdings.is(model, version) {
			return p.holdings, r.stagedChanged
		}
	}
	if r.staged.is(model, version) {
		return r.staged, r.stagedChanged
	}
	return nil, r.stagedChanged
}

// awaitHoldings returns the pieces of a version that a peer asks for, which
// this instance may learn of a little later; nil when ctx ends first.
func (r *Replica) awaitHoldings(ctx context.Context, model string, version int) *holdings {
	r.openServing(ctx, model, version)
	for {
		h, changed := r.holdingsOf(model, version)
		if h != nil {
			return h
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// openServing finds out which pieces the engine holds when a peer asks for a
// version that serves here and that this process did not fetch.
func (r *Replica) openServing(ctx context.Context, model string, version int) {
	t := r.currentTarget()
	if r.Phase() != PhaseServing || t.model != model || t.version != version {
		return
	}
	r.opening.Lock()
	defer r.opening.Unlock()
	if h, _ := r.holdingsOf(model, version); h != nil {
		return
	}
	peers, _ := r.peers()
	m, err := r.manifest(ctx, t, peers, false)
	if err != nil {
		r.config.Log.Log(eventlog.FetchFailed, "model", model, "version", version, "err", err)
		return
	}
	h := newHoldings(m, r.config.Engine)
	h.adopt(ctx)
	h.release()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStaged(h)
}
