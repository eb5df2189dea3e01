// Package agent is the process beside one backend server: it stands in front of
// its requests, moves weights to and from its instance, orders its engine to load
// them, and announces when it leaves.
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
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/listen"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/settings"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Agent runs beside one backend server.
type Agent struct {
	cfg      Config
	follower *follow.Follower
	gate     *gate.Gate
	server   backendServer
	// transfer and weights are nil for plain services.
	transfer *transfer.Service
	weights  *backend.Runner
	cache    cacheReader
	roles    roles
	// fetching is since when the wanted version is being fetched.
	fetching fetchStart
	// rank is the position of the instance in its pool, or unknownRank.
	rank atomic.Int64
	// firstTokens are the times to first token of live requests.
	firstTokens firstTokens
	sessions    *sessions
	stop        context.CancelFunc
	tasks       sync.WaitGroup
}

// unknownRank is the rank until an entry of the failure domain has told it.
const unknownRank = -1

// New returns an agent that Start starts.
func New(cfg Config) (*Agent, error) {
	a := &Agent{cfg: cfg.applyDefaults(), sessions: newSessions()}
	a.cfg.Gate.OnChange = a.sessions.beat
	a.cfg.Gate.OnRefusal = a.refused
	a.rank.Store(unknownRank)
	a.follower = follow.New(follow.Config{Clock: cfg.Clock, Rand: cfg.Rand, Log: cfg.Log, Heartbeat: a.beat})
	var err error
	if cfg.BackendKind == settings.BackendPlain {
		err = a.setUpPlain()
	} else {
		err = a.setUpEngine()
	}
	return a, err
}

func (a *Agent) setUpPlain() error {
	client, err := engine.NewPlainClient(engine.Config{Address: a.cfg.BackendURL})
	if err != nil {
		return err
	}
	a.server = newPlainServer(client, a.cfg)
	a.gate = gate.New(a.cfg.Gate, a.cfg.Clock, a.server, nil)
	a.gate.Serve([]model.Weights{{}})
	return nil
}

func (a *Agent) setUpEngine() error {
	client, err := engine.NewClient(engine.Config{Address: a.cfg.BackendURL})
	if err != nil {
		return err
	}
	sink, err := weights.NewDirectoryStorage(a.cfg.StagingDir)
	if err != nil {
		return err
	}
	chunks := weights.NewStore(weights.StoreConfig{Storage: sink, MaxBytes: a.cfg.StagingBytes})
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
	a.cfg.Backend.Guard.Epoch = a.startNumber(client)
	a.weights = backend.NewRunner(backend.RunnerConfig{
		Machine: a.cfg.Backend,
		Clock:   a.cfg.Clock,
		Random:  rand.New(rand.NewSource(a.cfg.Rand.Int63())),
		Engine:  client,
		Host:    host{a},
	})
	a.follower.Watch(host{a}.configured)
	return nil
}

// startTimeout bounds the wait for a start number; the agent starts without one
// while the store is down.
const startTimeout = 3 * time.Second

// startNumber takes the number under which this process gives orders: an engine
// can outlive its agent, and two agents must not use the same numbers.
func (a *Agent) startNumber(client *engine.Client) uint64 {
	if a.cfg.Table == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var floor uint64
	if state, err := client.State(ctx); err == nil {
		floor = state.Accepted.Epoch
	}
	number, err := backend.NextEpoch(ctx, a.cfg.Table, a.cfg.Identity.Instance, floor)
	if err != nil {
		a.cfg.Log.Log(eventlog.StoreUnavailable, "err", err)
		return 0
	}
	return number
}

// refused is called for each request that the gate refuses.
func (a *Agent) refused(reason outcome.Reason) {
	if reason == outcome.ReasonWeightsMismatch {
		a.cfg.Log.Log(eventlog.GateMismatch)
	}
}

// crashed is called when the engine died while it ran requests.
func (a *Agent) crashed(incarnation uint64) {
	a.cfg.Log.Log(eventlog.BackendServerCrashed, "incarnation", incarnation)
	a.gate.ReportCrash(incarnation)
	a.weights.HandleCrash()
}

// Start starts all tasks. It returns at once; Close ends them.
func (a *Agent) Start() {
	serving, stop := context.WithCancel(context.Background())
	a.stop = stop
	server := listen.New(listen.Config{
		Listener: a.cfg.Listener,
		Hello:    a.hello,
		Policy:   a.cfg.Policy,
		Serve:    a.serve,
		Log:      a.cfg.Log,
	})
	a.tasks.Go(func() { server.Run(serving) })
	a.tasks.Go(func() { a.tick(serving) })
	a.tasks.Go(func() { a.server.observe(serving) })
	if a.weights != nil {
		a.tasks.Go(func() { a.weights.Run(serving) })
		a.tasks.Go(func() { a.keepRole(serving) })
		if a.cfg.CacheInterval > 0 {
			a.tasks.Go(func() { a.followCache(serving) })
		}
	}
}

// Drain tells all entries at once that the instance is leaving, finishes what
// runs and returns nil when nothing is left, or an error when ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	empty := a.gate.Drain()
	a.sessions.beat()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends all tasks at once.
func (a *Agent) Close() error {
	a.stop()
	a.tasks.Wait()
	if a.transfer != nil {
		a.transfer.Close()
	}
	return nil
}

// LiveWeights returns the weights that requests are admitted for now.
func (a *Agent) LiveWeights() []model.Weights { return a.gate.Live() }

// tick drives what depends on time.
func (a *Agent) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			a.gate.Tick()
			a.follower.Tick()
			a.yield()
		case <-ctx.Done():
			return
		}
	}
}

// yield lets transfers take less of the link while live requests are slow.
func (a *Agent) yield() {
	if a.transfer != nil {
		a.transfer.ObserveFirstToken(a.firstTokens.mean(a.cfg.Clock.Now()))
	}
}

// tickInterval is the time between two looks at deadlines and announcements.
const tickInterval = 500 * time.Millisecond

func (a *Agent) hello() wire.Hello {
	return wire.Hello{Role: wire.RoleAgent, Identity: a.cfg.Identity, Pool: a.cfg.Pool}
}

// beat returns a heartbeat without its configuration fields.
func (a *Agent) beat() wire.Heartbeat {
	load := a.server.load()
	load.Running = max(load.Running, a.gate.Running())
	return wire.Heartbeat{Draining: a.gate.Draining(), LiveWeights: a.gate.Live(), Load: load, Role: a.roles.current()}
}
