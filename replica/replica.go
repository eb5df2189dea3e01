package replica

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/spread"
)

// Replica brings one engine to the declared version and keeps it there. The
// goroutine of Run owns the phases and decides on orders; fetches run
// concurrently. All methods but Run are safe for concurrent use.
type Replica struct {
	config Config
	phases *phaseMachine
	// linkDelay is how long other data may wait on the instance's link, in nanoseconds,
	// while pieces arrive slowly; zero otherwise.
	linkDelay     atomic.Int64
	uploadLimiter *uploadLimiter
	stats         Stats
	// maxRolloutTime is the time within which a declared version must serve on all
	// instances, in nanoseconds.
	maxRolloutTime atomic.Int64
	// wake makes Run read the state again at once.
	wake chan struct{}
	// originUnreachable is set if the last call to the origin failed.
	originUnreachable atomic.Bool
	// draining is set while entries should send no more requests to the engine.
	draining atomic.Bool
	// engineState is the last state read from the engine, or nil if the engine
	// didn't answer.
	engineState atomic.Pointer[timedState]
	// trusted identifies the loaded weights that are known to be intact. It is nil before
	// the engine's state has been read.
	trusted atomic.Pointer[loadStamp]
	// openOrder is the last order without a response, or nil. It is written by the
	// goroutine of Run only.
	openOrder atomic.Pointer[openOrder]
	// check and checkKey belong to the goroutine of Run.
	check    *layerCheck
	checkKey checkKey
	// initial is what the engine had loaded when its state was first read, at initialReadAt,
	// or nil if it was loading then. It belongs to the goroutine of Run.
	initial       *loadStamp
	initialReadAt time.Time
	// unverifiedLogged is set once it has been logged that initial is not verified. It
	// belongs to the goroutine of Run.
	unverifiedLogged bool
	// openReports are the reports by which entries may use the engine.
	openReports *openReports
	// loadDelayed is set while a load waits until no entry may use the engine by an earlier
	// report.
	loadDelayed atomic.Bool
	// loadDelayedAt is when that began. It belongs to the goroutine of Run.
	loadDelayedAt time.Time
	// confirmed is what an entry last reported as verified by an earlier process.
	confirmed atomic.Pointer[loadStamp]
	// enginePaused is set while the engine has asked for a pause, orderSent from an order until
	// the state is read. They belong to the goroutine of Run.
	enginePaused, orderSent bool
	// reporterWake makes the LoadReporter check for changes.
	reporterWake chan struct{}
	// peerSessions is the number of connected peers.
	peerSessions atomic.Int64

	// mu guards the following fields, except discoveryMu.
	mu     sync.Mutex
	target target
	// pending are fetched versions that haven't been handed to the engine, oldest
	// first.
	pending []*pendingVersion
	// fetching is the running fetch, or nil.
	fetching *runningFetch
	// fetchBackoff gives the delays after failed fetches.
	fetchBackoff *backoff.ExponentialBackOff
	// badManifestVersion is the last version whose manifest appeared to be wrong, or
	// zero.
	badManifestVersion int
	// lastPlan is the plan of the last fetch, or nil.
	lastPlan *spread.Plan
	// staged holds the pieces at the engine, or nil if this process doesn't know
	// them.
	staged *pieceSet
	// stagedChanged is closed when fetching or staged changes.
	stagedChanged chan struct{}
	// discoveryMu serializes discoverStaged.
	discoveryMu sync.Mutex
}

// New returns a Replica without a target.
func New(config Config) *Replica {
	r := &Replica{
		config: config, openReports: newOpenReports(), uploadLimiter: newUploadLimiter(config.LinkRate),
		wake: make(chan struct{}, 1), reporterWake: make(chan struct{}, 1), stagedChanged: make(chan struct{}), fetchBackoff: newBackoff(retryDelay, maxRetryDelay),
	}
	r.maxRolloutTime.Store(int64(config.MaxRolloutTime))
	r.phases = newPhaseMachine(func(from, to Phase) {
		t := r.currentTarget()
		config.Log.Log(eventlog.ReplicaPhase, "from", string(from), "to", string(to), "model", t.model, "version", t.version)
	})
	return r
}

// SetLimits changes the time within which a declared version must serve on all
// instances, and the bandwidth of the instance's link in bytes per second, with
// zero for unknown.
func (r *Replica) SetLimits(maxRolloutTime time.Duration, linkRate float64) {
	r.maxRolloutTime.Store(int64(maxRolloutTime))
	r.uploadLimiter.setLinkRate(linkRate)
}

// Phase returns the current phase.
func (r *Replica) Phase() Phase { return r.phases.phase() }

// Draining reports whether entries should send no requests to the engine: it is about to
// load or may accept an order at any time, its state is unknown, or its weights are not
// known to be intact.
func (r *Replica) Draining() bool {
	// An order updates the state before it resets draining, so the state is read last.
	if r.draining.Load() {
		return true
	}
	state := r.engineState.Load()
	if state == nil || r.sentOpenOrder(&state.EngineState) {
		return true
	}
	return !r.trusts(&state.EngineState) && (len(state.Weights) > 0 || r.mayAcceptOrder(&state.EngineState))
}

// Stats returns the transfer counters.
func (r *Replica) Stats() *Stats { return &r.stats }

// hasWeights reports whether the engine has loaded weights and so may be serving
// streams.
func (r *Replica) hasWeights() bool {
	state := r.engineState.Load()
	return state != nil && len(state.Weights) > 0
}

func (r *Replica) wakeRun() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Replica) currentTarget() target {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// Run serves peers and follows the target until ctx ends. When it returns, the peer port
// is closed. It returns an error if it cannot listen on the peer port.
func (r *Replica) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(r.config.Listen, strconv.Itoa(r.config.PeerPort)))
	if err != nil {
		return err
	}
	// A port is free only after the calls that use it have returned.
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		<-ctx.Done()
		_ = ln.Close()
	})
	running.Go(func() { r.servePeers(ctx, ln) })
	for ctx.Err() == nil {
		if r.readEngineState(ctx); !r.enginePaused {
			r.reconcile(ctx)
		}
		wait(ctx, r.wake, r.pollInterval())
	}
	return nil
}

// pollInterval returns the time until the engine's state is read again.
func (r *Replica) pollInterval() time.Duration {
	if state := r.engineState.Load(); state != nil && state.Busy {
		return loadPollInterval
	}
	return enginePollInterval
}

// wait returns when ctx ends, changed is ready, or limit has passed. A limit of
// zero means none.
func wait(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	var timer <-chan time.Time
	if limit > 0 {
		timer = time.After(limit)
	}
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer:
	}
}

// readEngineState updates engineState and wakes the LoadReporter. While the engine has asked
// this agent for a pause, the last state stays: the engine has asked no entry for one, and
// changes its weights only by an order.
func (r *Replica) readEngineState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	state, err := r.config.Engine.State(ctx)
	paused := errors.Is(err, ErrEnginePaused)
	if paused && !r.enginePaused {
		r.config.Log.Log(eventlog.EnginePaused, "err", err)
	}
	r.enginePaused = paused
	switch {
	case paused && !r.orderSent && r.openOrder.Load() == nil:
	case err != nil:
		r.engineState.Store(nil)
	default:
		r.orderSent = false
		r.trustInitial(&state)
		r.engineState.Store(&timedState{EngineState: state, readAt: r.config.Clock.Now()})
	}
	r.wakeReporter()
}

// trustInitial decides, when this process first reads the engine's state, whether the
// weights that the engine holds are known to be intact. They are if the engine started
// with them. An earlier process that ordered a load may have ended before it verified what
// the engine took, or after it found a corrupt piece. It may also have left an order that
// the engine hasn't accepted yet.
func (r *Replica) trustInitial(state *EngineState) {
	if r.trusted.Load() != nil {
		return
	}
	stamp := state.stamp()
	r.openOrder.Store(&openOrder{stamp: stamp})
	if !state.Busy {
		r.initial, r.initialReadAt = &stamp, r.config.Clock.Now()
	}
	trusted := stamp
	if state.Busy || state.OrdersAccepted > 0 {
		trusted = loadStamp{ordersAccepted: neverAccepted}
	}
	if state.Busy || state.OrdersAccepted > 0 || len(state.Weights) == 0 {
		r.openReports.sentEarlier(state, r.config.Clock.Now())
	}
	r.trusted.Store(&trusted)
}

// wakeReporter makes the LoadReporter check for changes.
func (r *Replica) wakeReporter() {
	select {
	case r.reporterWake <- struct{}{}:
	default:
	}
}

// reconcile acts on the difference between the engine's state and the target.
func (r *Replica) reconcile(ctx context.Context) {
	t := r.currentTarget()
	state := r.engineState.Load()
	if state != nil {
		r.trustConfirmed(&state.EngineState)
	}
	switch {
	case t.version == 0 || state == nil:
		r.phases.fire(triggerUnknown)
		return
	case r.serves(&state.EngineState, t) && r.trusts(&state.EngineState):
		// Earlier processes knew of no newer version to order.
		r.dismissEarlierOrder()
		r.phases.fire(triggerServing)
		return
	case state.Weights[t.model].Version > t.version:
		// A newer version than this process knows of was loaded and is not verified.
		r.phases.fire(triggerUnknown)
		return
	}
	r.startFetch(ctx, t, &state.EngineState)
	switch p, pending := r.nextLoad(&state.EngineState); {
	case state.Busy:
		r.phases.fire(triggerBusy)
		r.verifyWhileBusy(ctx, p, &state.EngineState)
	case p != nil && r.held(&state.EngineState, p).Len() > 0:
		r.phases.fire(triggerTaken)
		r.load(ctx, p, &state.EngineState)
	case p != nil:
		r.phases.fire(triggerFetched)
		r.load(ctx, p, &state.EngineState)
	case pending:
		r.phases.fire(triggerFetched)
		r.stageAhead(ctx, &state.EngineState)
	default:
		r.phases.fire(triggerMissing)
		r.stageWhileFetching(ctx, &state.EngineState)
	}
}

// setStaged replaces the pieces at the engine. The caller holds mu.
func (r *Replica) setStaged(pieces *pieceSet) {
	r.staged = pieces
	close(r.stagedChanged)
	r.stagedChanged = make(chan struct{})
}

func (r *Replica) countReceived(source string, bytes int) {
	if source == spread.Origin {
		r.stats.OriginBytes.Add(int64(bytes))
		return
	}
	r.stats.PeerBytes.Add(int64(bytes))
}

func (r *Replica) reportCorrupt(source string, piece int) {
	r.stats.CorruptPieces.Add(1)
	if source == spread.Origin {
		source = "origin"
	}
	r.config.Log.Log(eventlog.PieceCorrupt, "source", source, "piece", piece)
}

func (r *Replica) logEngineError(err error) {
	r.config.Log.Log(eventlog.EngineCallFailed, "err", err)
}
