// Package entry is the process between callers and agents: it serves callers and
// operators, routes requests, follows the configuration, and tracks the
// distribution of weights in its failure domain.
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
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// tickInterval is the time between two looks at grants and announcements.
const tickInterval = 250 * time.Millisecond

// Entry runs on one entry instance.
type Entry struct {
	cfg        Config
	store      *config.Store
	follower   *follow.Follower
	fleet      *fleet.Fleet
	dispatcher *dispatch.Dispatcher
	trackers   *tracker.Service
	callers    *caller.Server
	operators  *grpc.Server
	reports    *reports
	draining   atomic.Bool
	stop       context.CancelFunc
	tasks      sync.WaitGroup
	failed     chan error
}

// New returns an entry that Start starts.
func New(cfg Config) *Entry {
	e := &Entry{cfg: cfg.applyDefaults(), failed: make(chan error, 2), reports: newReports(cfg.Clock)}
	cfg = e.cfg
	e.store = config.NewStore(cfg.Table, config.StoreConfig{Clock: cfg.Clock})
	e.follower = follow.New(follow.Config{
		Clock:     cfg.Clock,
		Rand:      rand.New(rand.NewSource(cfg.Rand.Int64())),
		Log:       cfg.Log,
		Heartbeat: e.beat,
	})
	e.fleet = fleet.New(e.fleetConfig())
	e.dispatcher = dispatch.New(e.dispatchConfig())
	e.trackers = tracker.New(tracker.Config{
		Clock:     cfg.Clock,
		Seed:      cfg.Rand.Int64(),
		Log:       cfg.Log,
		Location:  cfg.Identity.Location,
		Tracker:   cfg.Tracker,
		Policy:    e.policy,
		PoolState: e.group,
		Rollout:   cfg.Rollout,
	})
	e.callers = caller.NewServer(caller.Config{
		Listener: cfg.CallerListener,
		Clock:    cfg.Clock,
		Current:  e.Current,
		Handler:  e.dispatcher,
		Invalid:  cfg.Metrics,
		Log:      cfg.Log,
	})
	e.follower.Watch(func(v *config.View) { e.dispatcher.ApplyConfig(v.Config) })
	e.setUpOperators()
	return e
}

func (e *Entry) fleetConfig() fleet.Config {
	c := e.cfg.Fleet
	c.Identity, c.Clock, c.Rand, c.Log = e.cfg.Identity, e.cfg.Clock, e.cfg.Rand, e.cfg.Log
	c.InstanceList, c.Follower, c.Dial, c.Draining = e.cfg.InstanceList, e.follower, e.dial, e.draining.Load
	c.HandleOther = e.peerMessage
	return c
}

func (e *Entry) dispatchConfig() dispatch.Config {
	c := e.cfg.Dispatch
	c.Clock, c.Log, c.Metrics = e.cfg.Clock, e.cfg.Log, e.cfg.Metrics
	c.Fleet, c.Current = e.fleet, e.Current
	c.Ledger = claim.New(claim.Config{}, e.cfg.Table, claim.NewBatcher(claim.BatcherConfig{}, e.cfg.Table))
	return c
}

// OnConfigChange calls fn after each change of the configuration in force. It is called
// before Start.
func (e *Entry) OnConfigChange(fn func(*config.View)) { e.follower.Watch(fn) }

// UsableAgents returns the number of agents that this entry may send work to.
func (e *Entry) UsableAgents() int { return e.fleet.UsableAgents() }

// PrefixCached reports whether the prefix of a body is believed to be cached under the
// given weights on any instance.
func (e *Entry) PrefixCached(body []byte, weights model.Weights) bool {
	return e.fleet.PrefixCached(body, weights)
}

// AttemptsSent returns the number of attempts that were placed on an agent.
func (e *Entry) AttemptsSent(id model.InstanceID) int { return e.fleet.AttemptsSent(id) }

// Traffic returns the bytes that the connections to agents and other entries
// have sent and received.
func (e *Entry) Traffic() (sent, received int64) { return e.fleet.Traffic() }

// Current returns the configuration in force, or nil before the first one.
func (e *Entry) Current() *config.Config {
	if v := e.follower.Current(); v != nil {
		return v.Config
	}
	return nil
}

func (e *Entry) beat() wire.Heartbeat { return wire.Heartbeat{Draining: e.draining.Load()} }

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

// Start starts all tasks. It returns at once; Close ends them.
func (e *Entry) Start() {
	serving, stop := context.WithCancel(context.Background())
	e.stop = stop
	peers := listen.New(listen.Config{
		Listener: e.cfg.PeerListener,
		Hello:    e.hello,
		Policy:   e.cfg.Policy,
		Serve:    e.serve,
		Log:      e.cfg.Log,
	})
	e.tasks.Go(func() { peers.Run(serving) })
	e.tasks.Go(func() { e.fleet.Run(serving) })
	e.tasks.Go(func() { e.dispatcher.Run(serving) })
	e.tasks.Go(func() { e.tick(serving) })
	random := rand.New(rand.NewSource(e.cfg.Rand.Int64()))
	e.tasks.Go(func() { e.follower.PollStore(serving, e.store, e.fleet.Size, random) })
	if e.operators != nil {
		e.tasks.Go(func() {
			if err := e.operators.Serve(e.cfg.OperatorListener); err != nil && serving.Err() == nil {
				e.failed <- err
			}
		})
	}
	e.tasks.Go(func() {
		if err := e.callers.Run(); err != nil && serving.Err() == nil {
			e.failed <- err
		}
	})
}

// setUpOperators prepares the operators' interface where it has a listener.
func (e *Entry) setUpOperators() {
	if e.cfg.OperatorListener == nil {
		return
	}
	options := operatorrpc.Options()
	if e.cfg.Policy != nil && !e.cfg.Policy.Plaintext() {
		options = append(options, grpc.Creds(credentials.NewTLS(e.cfg.Policy.ServerTLSConfig(security.RoleOperator))))
	}
	e.operators = grpc.NewServer(options...)
	operatorrpc.New(operatorrpc.Config{Clock: e.cfg.Clock, Log: e.cfg.Log}, e.store, status{e}, status{e}).Register(e.operators)
}

// Failed delivers an error when the entry cannot go on serving callers.
func (e *Entry) Failed() <-chan error { return e.failed }

// Drain serves what the balancer still sends, finishes what runs and returns
// nil when nothing is left, or an error when ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	e.callers.SetDraining()
	lag := time.NewTimer(e.cfg.BalancerLag)
	defer lag.Stop()
	select {
	case <-lag.C:
	case <-ctx.Done():
	}
	if err := e.callers.Drain(ctx); err != nil {
		return err
	}
	return e.dispatcher.Drain(ctx)
}

// Close ends all tasks at once.
func (e *Entry) Close() error {
	e.callers.Close(0)
	e.stop()
	if e.operators != nil {
		e.operators.Stop()
	}
	e.tasks.Wait()
	return nil
}

// serve handles a connection that a peer opened.
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
			e.exchange(ctx)
		case <-ctx.Done():
			return
		}
	}
}
