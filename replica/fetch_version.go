package replica

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/spread"
)

var errNoOrigin = errors.New("live configuration names no origin")

// startFetch starts to fetch the target unless it is present or already being
// fetched. It lets a fetch of an older version continue if that is nearly done:
// an engine that skips a version keeps serving the previous one until the newer
// one has arrived, and all engines would then load at the same moment.
func (r *Replica) startFetch(ctx context.Context, t target, state *EngineState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pending {
		if p.version == t.version && p.model == t.model {
			return
		}
	}
	if r.staged.isVersion(t.model, t.version) && len(r.staged.missing()) == 0 {
		// The engine either carries out the order now or has restarted since.
		if !state.Busy {
			r.pending = append(r.pending, &pendingVersion{target: t, pieces: r.staged})
		}
		return
	}
	if f := r.fetching; f != nil {
		if f.version == t.version && f.model == t.model || f.pieces != nil && r.worthFinishing(f.pieces, t) {
			return
		}
		f.cancel()
	}
	fetchCtx, cancel := context.WithCancel(ctx)
	f := &runningFetch{target: t, cancel: cancel, manifestFromOrigin: r.badManifestVersion == t.version}
	r.fetching = f
	// An engine that holds layers of the version has its pieces staged.
	w := state.Weights[t.model]
	go r.runFetch(fetchCtx, f, len(state.Weights) == 0 || w.Version == t.version)
}

// worthFinishing reports whether an older version will arrive early enough to
// serve for a while before the target must.
func (r *Replica) worthFinishing(pieces *pieceSet, t target) bool {
	if pieces.shareHeld() < minFinishShare {
		return false
	}
	maxRolloutTime := float64(r.maxRolloutTime.Load())
	arrival := r.config.Clock.Now().Add(time.Duration(len(pieces.missing())) * r.config.OriginPieceTime())
	return arrival.Before(t.since.Add(time.Duration((1 - loadTimeShare) * maxRolloutTime)))
}

// runFetch fetches one version. If checkStaged is set, the engine may still hold
// pieces of it.
func (r *Replica) runFetch(ctx context.Context, f *runningFetch, checkStaged bool) {
	defer f.cancel()
	start := r.config.Clock.Now()
	pieces, err := r.fetchVersion(ctx, f, checkStaged)
	if err != nil {
		wait(ctx, nil, r.nextFetchDelay())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fetching == f {
		r.fetching = nil
	}
	if err == nil {
		r.fetchBackoff.Reset()
		r.pending = append(r.pending, &pendingVersion{target: f.target, pieces: pieces, loadAfter: r.loadTime(f)})
		r.config.Log.Log(eventlog.ReplicaFetched, "model", f.model, "version", f.version,
			"total_ms", r.config.Clock.Now().Sub(start).Milliseconds(),
			"origin_bytes", r.stats.OriginBytes.Load(), "peer_bytes", r.stats.PeerBytes.Load())
	} else if ctx.Err() == nil {
		if errors.Is(err, errFetchIncomplete) {
			r.badManifestVersion = f.version
		}
		r.config.Log.Log(eventlog.FetchFailed, "model", f.model, "version", f.version, "err", err)
	}
	r.wakeRun()
}

func (r *Replica) nextFetchDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fetchBackoff.NextBackOff()
}

// fetchVersion returns the complete set of pieces of a version.
func (r *Replica) fetchVersion(ctx context.Context, f *runningFetch, checkStaged bool) (*pieceSet, error) {
	peers, _ := r.listPeers()
	m, err := r.manifest(ctx, f.target, peers, f.manifestFromOrigin)
	if err != nil {
		return nil, err
	}
	pieces := newPieceSet(m, r.config.Engine)
	if checkStaged {
		pieces.readStaged(ctx)
	}
	r.mu.Lock()
	f.pieces = pieces
	r.setStaged(r.staged)
	r.mu.Unlock()
	for len(pieces.missing()) > 0 {
		if !r.newFetch(pieces, f.target, peers).run(ctx) {
			return nil, merry.Wrap(errFetchIncomplete, merry.AppendMessagef("%d of %d missing", len(pieces.missing()), len(m.Digests)))
		}
	}
	return pieces, nil
}

var errFetchIncomplete = errors.New("fetch ended with missing pieces")

// recordOriginResult logs when the origin stops answering and when it answers
// again. It ignores calls that failed because the caller's ctx ended.
func (r *Replica) recordOriginResult(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
	case err != nil && !r.originUnreachable.Swap(true):
		r.config.Log.Log(eventlog.OriginLost, "err", err)
	case err == nil && r.originUnreachable.Swap(false):
		r.config.Log.Log(eventlog.OriginRegained)
	}
}

// listPeers returns the engines of the service and whether the list could be
// read. Without it the origin still has every piece.
func (r *Replica) listPeers() ([]Peer, bool) {
	peers, err := r.config.Peers()
	if err != nil {
		r.config.Log.Log(eventlog.PeerListUnavailable, "err", err)
	}
	return peers, err == nil
}

func (r *Replica) newFetch(pieces *pieceSet, t target, peers []Peer) *fetch {
	f := &fetch{
		replica: r, pieces: pieces, addresses: make(map[string]string),
		started: r.fetchStart(t), originPieceTime: r.config.OriginPieceTime(),
	}
	f.setPeers(peers)
	return f
}

// agentAddresses returns the address of each peer's agent, by engine address.
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

// fetchStart returns the time at which the members started to fetch a version:
// its declaration, or now if this instance starts much later.
func (r *Replica) fetchStart(t target) time.Time {
	now := r.config.Clock.Now()
	if now.Sub(t.since) < fetchStartWindow {
		return t.since
	}
	return now
}

// newPlan returns the distribution plan among the peers, which also determines
// the order in which engines load new weights.
func (r *Replica) newPlan(peers []Peer, pieces int) *spread.Plan {
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

// loadTime returns the time from which this engine may load a version. Engines
// load one after another, so that the others keep serving. The caller holds mu.
func (r *Replica) loadTime(f *runningFetch) time.Time {
	rank, count := 0, 1
	if r.lastPlan != nil {
		rank, count = r.lastPlan.Rank()
	}
	share := firstLoadShare + (lastLoadShare-firstLoadShare)*float64(rank)/float64(max(1, count-1))
	since := f.since
	if r.target.model == f.model && r.target.version == f.version {
		since = r.target.since
	}
	return since.Add(time.Duration(share * float64(r.maxRolloutTime.Load())))
}

// findPieces returns the pieces of a version that this instance holds or is
// fetching, and a channel that is closed when that changes.
func (r *Replica) findPieces(model string, version int) (*pieceSet, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.fetching; f != nil && f.pieces.isVersion(model, version) {
		return f.pieces, r.stagedChanged
	}
	for _, p := range r.pending {
		if p.pieces.isVersion(model, version) {
			return p.pieces, r.stagedChanged
		}
	}
	if r.staged.isVersion(model, version) {
		return r.staged, r.stagedChanged
	}
	return nil, r.stagedChanged
}

// awaitPieces returns the pieces of a version that a peer requests. It waits
// until this instance knows the version, and returns nil if ctx ends first.
func (r *Replica) awaitPieces(ctx context.Context, model string, version int) *pieceSet {
	r.discoverStaged(ctx, model, version)
	for {
		pieces, changed := r.findPieces(model, version)
		if pieces != nil {
			return pieces
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// discoverStaged reads which pieces the engine holds when a peer requests a
// version that serves here but that this process didn't fetch.
func (r *Replica) discoverStaged(ctx context.Context, model string, version int) {
	t := r.currentTarget()
	if r.Phase() != PhaseServing || t.model != model || t.version != version {
		return
	}
	r.discoveryMu.Lock()
	defer r.discoveryMu.Unlock()
	if pieces, _ := r.findPieces(model, version); pieces != nil {
		return
	}
	peers, _ := r.listPeers()
	m, err := r.manifest(ctx, t, peers, false)
	if err != nil {
		r.config.Log.Log(eventlog.FetchFailed, "model", model, "version", version, "err", err)
		return
	}
	pieces := newPieceSet(m, r.config.Engine)
	pieces.readStaged(ctx)
	pieces.dropFromMemory()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setStaged(pieces)
}
