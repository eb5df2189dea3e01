// Package entry implements the process between callers and agents. It serves callers
// and operators, routes requests, follows the configuration and tracks the distribution
// of weights in its failure domain.
package entry

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/entry/dispatch"
	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/entry/operatorrpc"
	"github.com/auburnbend/auburnbend/entry/tracker"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/listen"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// tickInterval is the time between two runs of the periodic tasks: those of the
// follower and the trackers, and the exchange with other trackers.
const tickInterval = 250 * time.Millisecond

// Entry is the process of one entry instance. Its methods are safe for concurrent use
// unless stated otherwise.
type Entry struct {
	cfg            Config
	store          *config.Store
	follower       *follow.Follower
	fleet          *fleet.Fleet
	dispatcher     *dispatch.Dispatcher
	trackers       *tracker.Service
	callerServer   *caller.Server
	operatorServer *grpc.Server
	reports        *reports
	draining       atomic.Bool
	stop           context.CancelFunc
	tasks          sync.WaitGroup
	// serveErrors gets an error if a listener fails.
	serveErrors chan error
}

// New returns an Entry. It does not serve until Start is called.
func New(cfg Config) *Entry {
	e := &Entry{cfg: cfg.applyDefaults(), serveErrors: make(chan error, 2), reports: newReports(cfg.Clock)}
	cfg = e.cfg
	e.store = config.NewStore(cfg.Table, config.StoreConfig{Clock: cfg.Clock})
	e.follower = follow.New(follow.Config{
		Clock:     cfg.Clock,
		Rand:      rand.New(rand.NewSource(cfg.Rand.Int64())),
		Log:       cfg.Log,
		Heartbeat: e.heartbeat,
	})
	e.fleet = fleet.New(e.fleetConfig())
	e.dispatcher = dispatch.New(e.dispatchConfig())
	e.trackers = tracker.New(tracker.Config{
		Clock:     cfg.Clock,
		Seed:      cfg.Rand.Int64(),
		Log:       cfg.Log,
		Location:  cfg.Identity.Location,
		Tracker:   cfg.Tracker,
		Policy:    e.distributionPolicy,
		PoolState: e.poolState,
		Rollout:   cfg.Rollout,
	})
	e.callerServer = caller.NewServer(caller.Config{
		Listener: cfg.CallerListener,
		Clock:    cfg.Clock,
		Current:  e.Current,
		Handler:  e.dispatcher,
		Invalid:  cfg.Metrics,
		Log:      cfg.Log,

		MaxBodyBytes:     cfg.MaxBodyBytes,
		MaxResponseBytes: cfg.MaxResponseBytes,
	})
	e.follower.Watch(func(v *config.View) { e.dispatcher.ApplyConfig(v.Config) })
	e.setUpOperatorServer()
	return e
}

func (e *Entry) fleetConfig() fleet.Config {
	c := e.cfg.Fleet
	c.Identity, c.Clock, c.Rand, c.Log = e.cfg.Identity, e.cfg.Clock, e.cfg.Rand, e.cfg.Log
	c.InstanceList, c.Follower, c.Dial, c.Draining = e.cfg.InstanceList, e.follower, e.dial, e.draining.Load
	c.HandleOther = e.handlePeerMessage
	return c
}

func (e *Entry) dispatchConfig() dispatch.Config {
	c := e.cfg.Dispatch
	c.Clock, c.Log, c.Metrics = e.cfg.Clock, e.cfg.Log, e.cfg.Metrics
	c.Fleet, c.Current = e.fleet, e.Current
	c.Ledger = claim.New(claim.Config{}, e.cfg.Table, claim.NewBatcher(claim.BatcherConfig{}, e.cfg.Table))
	return c
}

// OnConfigChange makes the entry call fn after each change of the configuration in force.
// It must be called before Start.
func (e *Entry) OnConfigChange(fn func(*config.View)) { e.follower.Watch(fn) }

// UsableAgents returns the number of agents that may get new work from this entry.
func (e *Entry) UsableAgents() int { return e.fleet.UsableAgents() }

// PrefixCached reports whether any instance is assumed to have the prefix of a body
// cached for the given weights.
func (e *Entry) PrefixCached(body []byte, weights model.Weights) bool {
	return e.fleet.PrefixCached(body, weights)
}

// AttemptsSent returns the number of attempts placed on the current generation of an
// agent.
func (e *Entry) AttemptsSent(id model.InstanceID) int { return e.fleet.AttemptsSent(id) }

// Budgets returns the budgets of what the entry holds for others, by kind.
func (e *Entry) Budgets() map[string]*memory.Budget { return e.callerServer.Budgets() }

// Traffic returns the number of bytes sent and received on the open connections that
// this entry has opened to agents and other entries.
func (e *Entry) Traffic() (sent, received int64) { return e.fleet.Traffic() }

// Current returns the configuration in force, or nil before the first one.
func (e *Entry) Current() *config.Config {
	if v := e.follower.Current(); v != nil {
		return v.Config
	}
	return nil
}

func (e *Entry) heartbeat() wire.Heartbeat { return wire.Heartbeat{Draining: e.draining.Load()} }

func (e *Entry) hello() wire.Hello {
	return wire.Hello{Role: wire.RoleEntry, Identity: e.cfg.Identity}
}

func (e *Entry) dial(ctx context.Context, address string) (*wire.Conn, wire.Hello, error) {
	nc, err := e.cfg.Dial(ctx, address)
	if err != nil {
		return nil, wire.Hello{}, err
	}
	return wire.Handshake(nc, e.hello())
}

// Start starts all tasks and returns immediately. Close ends them. It must be called
// once.
func (e *Entry) Start() {
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	peers := listen.New(listen.Config{
		Listener: e.cfg.PeerListener,
		Hello:    e.hello,
		Policy:   e.cfg.Policy,
		Serve:    e.serve,
		Log:      e.cfg.Log,
	})
	e.tasks.Go(func() { peers.Run(ctx) })
	e.tasks.Go(func() { e.fleet.Run(ctx) })
	e.tasks.Go(func() { e.dispatcher.Run(ctx) })
	e.tasks.Go(func() { e.tick(ctx) })
	rng := rand.New(rand.NewSource(e.cfg.Rand.Int64()))
	e.tasks.Go(func() { e.follower.PollStore(ctx, e.store, e.fleet.Size, rng) })
	if e.operatorServer != nil {
		e.tasks.Go(func() {
			if err := e.operatorServer.Serve(e.cfg.OperatorListener); err != nil && ctx.Err() == nil {
				e.serveErrors <- err
			}
		})
	}
	e.tasks.Go(func() {
		if err := e.callerServer.Run(); err != nil && ctx.Err() == nil {
			e.serveErrors <- err
		}
	})
}

// setUpOperatorServer creates the server of the operators' interface if it has a
// listener.
func (e *Entry) setUpOperatorServer() {
	if e.cfg.OperatorListener == nil {
		return
	}
	options := operatorrpc.Options()
	if e.cfg.Policy != nil && !e.cfg.Policy.Plaintext() {
		options = append(options, grpc.Creds(credentials.NewTLS(e.cfg.Policy.ServerTLSConfig(security.RoleOperator))))
	}
	e.operatorServer = grpc.NewServer(options...)
	operatorrpc.New(operatorrpc.Config{Clock: e.cfg.Clock, Log: e.cfg.Log}, e.store, status{e}, status{e}).Register(e.operatorServer)
}

// Failed returns a channel that gets an error if the entry can no longer serve callers
// or operators.
func (e *Entry) Failed() <-chan error { return e.serveErrors }

// balancerLag returns BalancerLag, or half of the time until ctx ends if that is shorter.
func (e *Entry) balancerLag(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(e.cfg.BalancerLag, time.Until(deadline)/2)
	}
	return e.cfg.BalancerLag
}

// Drain makes the readiness check fail, accepts requests for BalancerLag more, and then
// finishes the requests in progress. Those that still run shortly before the deadline of
// ctx get a final response. It returns an error if ctx ends before all of them have ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.callerServer.SetDraining()
	lag := time.NewTimer(e.balancerLag(ctx))
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-ctx.Done():
	}
	if err := e.callerServer.Drain(ctx); err != nil {
		return err
	}
	return e.dispatcher.Drain(ctx)
}

// Close stops all tasks immediately and waits for their end.
func (e *Entry) Close() error {
	e.callerServer.Close(0)
	e.stop()
	if e.operatorServer != nil {
		e.operatorServer.Stop()
	}
	e.tasks.Wait()
	return nil
}

// serve handles a connection that an agent or another entry has opened.
func (e *Entry) serve(_ context.Context, conn *wire.Conn, peer wire.Hello) {
	if peer.Role == wire.RoleAgent {
		_ = e.trackers.Serve(conn, peer)
		return
	}
	e.fleet.ServePeer(conn, peer)
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.follower.Tick()
			e.trackers.Tick()
			e.exchangeWithTrackers(ctx)
		case <-ctx.Done():
			return
		}
	}
}
