// Package agent implements the daemon that runs beside each backend server. It
// admits and forwards requests to the backend server, transfers weights to and from
// the instance, orders the model engine to load them, and tells entries when the
// instance drains.
package agent

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/agent/backend"
	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/agent/transfer"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/listen"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Agent manages one backend server. After Start, its methods are safe for concurrent
// use.
type Agent struct {
	cfg       Config
	startedAt time.Time
	follower  *follow.Follower
	gate      *gate.Gate
	server    backendServer
	// transfer and weights are nil for plain services.
	transfer *transfer.Service
	weights  *backend.Runner
	cache    cacheReader
	// loadRecord stores which load of the engine is known to be intact.
	loadRecord loadRecordFile
	// live is the record of the weights that are served. It is nil for plain services.
	live  atomic.Pointer[backend.LoadRecord]
	roles roles
	// fetchTimer records when the fetch of the current manifest began.
	fetchTimer fetchTimer
	// placement is nil for plain services.
	placement *placement
	// firstTokens measures the time to first token of live requests.
	firstTokens firstTokens
	// events bounds the memory of long events of a model engine.
	events   *memory.Budget
	sessions *sessions
	stop     context.CancelFunc
	tasks    sync.WaitGroup
}

// New returns an agent that does nothing until Start is called.
func New(cfg Config) (*Agent, error) {
	a := &Agent{cfg: cfg.applyDefaults(), sessions: newSessions()}
	a.startedAt = a.cfg.Clock.Now()
	a.events = memory.NewBudget(a.cfg.MaxEventBytes, a.cfg.MaxEventBytes)
	a.cfg.Gate.OnChange = a.sessions.sendHeartbeats
	a.cfg.Gate.OnRefusal = a.logRefusal
	a.follower = follow.New(follow.Config{Clock: cfg.Clock, Rand: cfg.Rand, Log: cfg.Log, Heartbeat: a.heartbeat})
	var err error
	if cfg.BackendKind == settings.BackendPlain {
		err = a.setUpPlain()
	} else {
		err = a.setUpEngine()
	}
	return a, err
}

func (a *Agent) setUpPlain() error {
	client, err := engine.NewPlainClient(engine.Config{Address: a.cfg.BackendURL, OnRateLimit: a.observeRateLimit})
	if err != nil {
		return err
	}
	a.server = newPlainServer(client, a.cfg)
	a.gate = gate.New(a.cfg.Gate, a.cfg.Clock, a.server, nil)
	a.gate.Serve([]model.Weights{{}})
	return nil
}

func (a *Agent) setUpEngine() error {
	client, err := engine.NewClient(engine.Config{Address: a.cfg.BackendURL, OnRateLimit: a.observeRateLimit, Events: a.events})
	if err != nil {
		return err
	}
	storage, err := weights.NewDirectoryStorage(a.cfg.StagingDir)
	if err != nil {
		return err
	}
	chunks := weights.NewStore(weights.StoreConfig{Storage: storage, MaxBytes: a.cfg.StagingBytes})
	a.transfer = transfer.New(transfer.Config{
		Clock:        a.cfg.Clock,
		Seed:         a.cfg.Rand.Int63(),
		Log:          a.cfg.Log,
		Identity:     a.cfg.Identity,
		Pool:         a.cfg.Pool,
		Dial:         a.cfg.Dial,
		Origin:       a.cfg.Origin,
		WeightStore:  a.cfg.WeightStore,
		Chunks:       chunks,
		Downloader:   a.cfg.Downloader,
		UploadSlots:  a.cfg.UploadSlots,
		UploadRate:   a.cfg.LinkRate,
		DownloadRate: a.cfg.LinkRate,
	})
	server := newEngineServer(client, a)
	a.server = server
	a.gate = gate.New(a.cfg.Gate, a.cfg.Clock, a.server, nil)
	a.cache = client
	if !a.cfg.Backend.Guard.EnforcesFencing {
		a.cfg.Log.Log(eventlog.FencingIgnored)
	}
	a.cfg.Backend.Guard.Epoch = a.nextEpoch(client)
	a.loadRecord = newLoadRecordFile(a.cfg.StagingDir)
	recorded := a.loadRecord.read()
	a.cfg.Backend.Recorded = recorded
	a.live.Store(&recorded)
	a.weights = backend.NewRunner(backend.RunnerConfig{
		Machine: a.cfg.Backend,
		Clock:   a.cfg.Clock, BootClock: clock.Boot{},
		Random: rand.New(rand.NewSource(a.cfg.Rand.Int63())),
		Engine: client,
		Host:   host{a},
	})
	a.placement = &placement{declared: host{a}.declaredPlacement, setWanted: a.weights.SetWanted, ranks: newRanks()}
	a.follower.Watch(host{a}.applyConfig)
	return nil
}

// epochTimeout bounds the wait for an epoch. If the store is down, the agent starts
// without one.
const epochTimeout = 3 * time.Second

// nextEpoch allocates the fencing epoch of this process's orders, or returns 0 if
// none can be allocated. An engine can outlive its agent, so two agents must never
// use the same epoch.
func (a *Agent) nextEpoch(client *engine.Client) uint64 {
	if a.cfg.Table == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), epochTimeout)
	defer cancel()
	var floor uint64
	if state, err := client.State(ctx); err == nil {
		floor = state.Accepted.Epoch
	}
	epoch, err := backend.NextEpoch(ctx, a.cfg.Table, a.cfg.Identity.Instance, floor)
	if err != nil {
		a.cfg.Log.Log(eventlog.StoreUnavailable, "err", err)
		return 0
	}
	return epoch
}

// logRefusal is called for each request that the gate refuses. It logs only those
// for weights that the instance does not serve, and those without memory.
func (a *Agent) logRefusal(reason outcome.Reason) {
	switch reason {
	case outcome.ReasonWeightsMismatch:
		a.cfg.Log.Log(eventlog.GateMismatch)
	case outcome.ReasonMemoryExhausted:
		a.cfg.Log.Log(eventlog.AgentBeyondMemory, "held", a.gate.Bodies().Held())
	}
}

// Budgets returns the budgets of what the agent holds for others, by kind.
func (a *Agent) Budgets() map[string]*memory.Budget {
	return map[string]*memory.Budget{"request": a.gate.Bodies(), "event": a.events}
}

// handleCrash is called when the engine has crashed or restarted. incarnation
// identifies the run of the engine that ended.
func (a *Agent) handleCrash(incarnation uint64) {
	a.cfg.Log.Log(eventlog.BackendServerCrashed, "incarnation", incarnation)
	a.gate.ReportCrash(incarnation)
	a.weights.HandleCrash()
}

// Start starts the agent's goroutines and returns immediately. Close stops them.
func (a *Agent) Start() {
	ctx, stop := context.WithCancel(context.Background())
	a.stop = stop
	server := listen.New(listen.Config{
		Listener: a.cfg.Listener,
		Hello:    a.hello,
		Policy:   a.cfg.Policy,
		Serve:    a.serve,
		Log:      a.cfg.Log,
	})
	a.tasks.Go(func() { server.Run(ctx) })
	a.tasks.Go(func() { a.runTicker(ctx) })
	a.tasks.Go(func() { a.server.poll(ctx) })
	if a.weights != nil {
		a.tasks.Go(func() { a.weights.Run(ctx) })
		a.tasks.Go(func() { a.enforceRole(ctx) })
		if a.cfg.CacheInterval > 0 {
			a.tasks.Go(func() { a.forwardCacheEvents(ctx) })
		}
	}
}

// Drain refuses new requests, notifies all entries immediately, and waits for running
// attempts to end and their responses to be confirmed or dropped. It returns the error
// of ctx if that ends first.
func (a *Agent) Drain(ctx context.Context) error {
	empty := a.gate.Drain()
	a.sessions.sendHeartbeats()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the agent without draining and waits for its goroutines.
func (a *Agent) Close() error {
	a.stop()
	a.tasks.Wait()
	if a.transfer != nil {
		a.transfer.Close()
	}
	return nil
}

// LiveWeights returns the weights that the agent currently admits requests for.
func (a *Agent) LiveWeights() []model.Weights { return a.gate.Live() }

// runTicker does the periodic work until ctx ends.
func (a *Agent) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.gate.Tick()
			a.follower.Tick()
			a.adjustLinkShare()
			a.applyPlacement()
		case <-ctx.Done():
			return
		}
	}
}

// adjustLinkShare passes on the time to first token, so that transfers use less of the
// link while live requests are slow.
func (a *Agent) adjustLinkShare() {
	if a.transfer != nil {
		a.transfer.ObserveFirstToken(a.firstTokens.mean(a.cfg.Clock.Now()))
	}
}

// applyPlacement decides again whether the placement includes this instance.
func (a *Agent) applyPlacement() {
	if a.placement != nil {
		a.placement.apply(a.cfg.Clock.Now())
	}
}

// tickInterval is the interval at which attempts and the age of the configuration are
// checked, and at which the link share of transfers and the placement are adjusted.
const tickInterval = 500 * time.Millisecond

func (a *Agent) hello() wire.Hello {
	return wire.Hello{Role: wire.RoleAgent, Identity: a.cfg.Identity, Pool: a.cfg.Pool, StartUnixMilli: a.startedAt.UnixMilli()}
}

// observeRateLimit passes a statement of the backend server on to the gate, which
// keeps to it, and to the entries.
func (a *Agent) observeRateLimit(s ratelimit.Statement, sinceSent time.Duration) {
	if !a.gate.ObserveRateLimit(s, sinceSent) {
		return
	}
	a.cfg.Log.Log(eventlog.RateLimitChanged, "per_second", s.PerSecond)
	a.sessions.sendHeartbeats()
}

// heartbeat returns a heartbeat in which the configuration fields are not set.
func (a *Agent) heartbeat() wire.Heartbeat {
	load := a.server.load()
	load.Running = max(load.Running, a.gate.Running())
	load.MinIntervalMillis = a.gate.MinInterval().Milliseconds()
	return wire.Heartbeat{Draining: a.gate.Draining(), LiveWeights: a.gate.Live(), Load: load, Role: a.roles.current()}
}
