package replica

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/spread"
)

// Replica keeps one engine on the declared version. Its Run goroutine owns the
// phases and decides on orders; fetches run beside it.
type Replica struct {
	config  Config
	phases  *phases
	uploads *uploads
	stats   Stats
	// versionTime is the time in nanoseconds in which a declared version must serve
	// everywhere.
	versionTime atomic.Int64
	// wake makes Run look at once.
	wake chan struct{}
	// originLost tells that the last call of the origin failed.
	originLost atomic.Bool
	// closed tells that the engine should get no more requests.
	closed atomic.Bool
	// report is the engine's last state; nil if it did not answer.
	report atomic.Pointer[timedReport]
	// observed tells that report is new.
	observed chan struct{}

	// mu guards what follows.
	mu     sync.Mutex
	target target
	// pending are fetched versions that the engine has not taken, oldest first.
	pending []*pendingVersion
	// fetching is the version that is being fetched; nil if there is none.
	fetching *runningFetch
	// fetchPauses are the pauses after failed fetches.
	fetchPauses *backoff.ExponentialBackOff
	// suspect is the version whose manifest seemed wrong last; zero for none.
	suspect int
	// lastPlan is the plan of the last fetch; nil before the first one.
	lastPlan *spread.Plan
	// staged is the version at the engine, if this process knows it.
	staged *holdings
	// stagedChanged is closed when fetching or staged changes.
	stagedChanged chan struct{}
	// opening admits one goroutine at a time to openServing.
	opening sync.Mutex
}

// New returns a Replica without a target.
func New(config Config) *Replica {
	r := &Replica{
		config: config, uploads: newUploads(config.LinkRate),
		wake: make(chan struct{}, 1), observed: make(chan struct{}, 1), stagedChanged: make(chan struct{}), fetchPauses: newBackoff(retryPause, maxRetryPause),
	}
	r.versionTime.Store(int64(config.MaxRolloutTime))
	r.phases = newPhases(func(from, to Phase) {
		t := r.currentTarget()
		config.Log.Log(eventlog.ReplicaPhase, "from", string(from), "to", string(to), "model", t.model, "version", t.version)
	})
	return r
}

// SetTarget sets the version that the engine must serve. Older ones are ignored.
func (r *Replica) SetTarget(model string, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target.model == model && r.target.version >= version {
		return
	}
	r.target = target{model: model, version: version, since: r.config.Clock.Now()}
	r.wakeUp()
}

// SetLimits changes the time in which a declared version must serve everywhere
// and the bandwidth of the instance's link in bytes per second, zero if it is not
// known.
func (r *Replica) SetLimits(versionTime time.Duration, linkRate float64) {
	r.versionTime.Store(int64(versionTime))
	r.uploads.setLinkRate(linkRate)
}

// Phase returns where the instance stands.
func (r *Replica) Phase() Phase { return r.phases.phase() }

// Draining reports whether the engine should get no more requests.
func (r *Replica) Draining() bool { return r.closed.Load() }

// Stats returns the counters.
func (r *Replica) Stats() *Stats { return &r.stats }

// serving reports whether the engine holds weights, and so may have streams.
func (r *Replica) serving() bool {
	report := r.report.Load()
	return report != nil && len(report.Weights) > 0
}

func (r *Replica) wakeUp() {
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

// Run serves peers and follows the target until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", net.JoinHostPort(r.config.Listen, strconv.Itoa(r.config.PeerPort)))
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	go r.servePeers(ctx, ln)
	for ctx.Err() == nil {
		r.observe(ctx)
		r.step(ctx)
		wait(ctx, r.wake, engineInterval)
	}
	return nil
}

// wait returns when ctx ends, changed is ready, or the time is over; zero time
// waits without limit.
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

// timedReport is an engine's state and when it was read.
type timedReport struct {
	EngineState
	at time.Time
}

// observe reads the engine's state.
func (r *Replica) observe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	report, err := r.config.Engine.State(ctx)
	if err != nil {
		r.report.Store(nil)
	} else {
		r.report.Store(&timedReport{EngineState: report, at: r.config.Clock.Now()})
	}
	r.notifyObserved()
}

// notifyObserved makes the beacon look for changes.
func (r *Replica) notifyObserved() {
	select {
	case r.observed <- struct{}{}:
	default:
	}
}

// step does what the engine's state and the target ask for.
func (r *Replica) step(ctx context.Context) {
	t := r.currentTarget()
	report := r.report.Load()
	switch {
	case t.version == 0 || report == nil:
		r.phases.fire(triggerUnknown)
		return
	case report.serves(t.model, t.version):
		r.phases.fire(triggerServing)
		return
	}
	r.fetchTarget(ctx, t, &report.EngineState)
	switch p, waiting := r.next(&report.EngineState); {
	case report.Busy:
		r.phases.fire(triggerBusy)
	case p != nil:
		r.phases.fire(triggerFetched)
		r.order(ctx, p)
	case waiting:
		r.phases.fire(triggerFetched)
	default:
		r.phases.fire(triggerMissing)
	}
}

// setStaged changes what is at the engine. The caller holds mu.
func (r *Replica) setStaged(h *holdings) {
	r.staged = h
	close(r.stagedChanged)
	r.stagedChanged = make(chan struct{})
}

func (r *Replica) received(source string, n int) {
	if source == spread.Origin {
		r.stats.OriginBytes.Add(int64(n))
		return
	}
	r.stats.PeerBytes.Add(int64(n))
}

func (r *Replica) spoilt(source string, piece int) {
	r.stats.CorruptPieces.Add(1)
	if source == spread.Origin {
		source = "origin"
	}
	r.config.Log.Log(eventlog.PieceCorrupt, "source", source, "piece", piece)
}

func (r *Replica) engineFailed(err error) {
	r.config.Log.Log(eventlog.EngineCallFailed, "err", err)
}
