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

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/entry/dispatch"
	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/entry/tracker"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/listen"
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
	draining   atomic.Bool
}

// New returns an entry that starts when Run is called.
func New(cfg Config) *Entry {
	e := &Entry{cfg: cfg.applyDefaults()}
	cfg = e.cfg
	e.store = config.NewStore(cfg.Table, config.StoreConfig{Clock: cfg.Clock})
	e.follower = follow.New(follow.Config{
		Clock: cfg.Clock,
		Rand:  rand.New(rand.NewSource(cfg.Rand.Int64())),
		Log:   cfg.Log,
		Beat:  e.beat,
	})
	e.fleet = fleet.New(e.fleetConfig())
	e.dispatcher = dispatch.New(e.dispatchConfig())
	e.trackers = tracker.New(tracker.Config{
		Clock:    cfg.Clock,
		Seed:     cfg.Rand.Int64(),
		Log:      cfg.Log,
		Location: cfg.Identity.Location,
		Tracker:  cfg.Tracker,
		Policy:   e.policy,
		Group:    e.group,
		Waves:    cfg.Waves,
	})
	e.callers = caller.NewServer(caller.Config{
		Listener:     cfg.Callers,
		Clock:        cfg.Clock,
		Current:      e.Current,
		Handler:      e.dispatcher,
		Invalid:      cfg.Metrics,
		DrainTimeout: cfg.DrainTimeout,
	})
	e.follower.Watch(func(v *config.View) { e.dispatcher.Configure(v.Config) })
	return e
}

func (e *Entry) fleetConfig() fleet.Config {
	c := e.cfg.Fleet
	c.Identity, c.Clock, c.Rand, c.Log = e.cfg.Identity, e.cfg.Clock, e.cfg.Rand, e.cfg.Log
	c.List, c.Follower, c.Dial, c.Draining = e.cfg.List, e.follower, e.dial, e.draining.Load
	return c
}

func (e *Entry) dispatchConfig() dispatch.Config {
	c := e.cfg.Dispatch
	c.Clock, c.Log, c.Metrics = e.cfg.Clock, e.cfg.Log, e.cfg.Metrics
	c.Fleet, c.Current = e.fleet, e.Current
	c.Ledger = claim.New(claim.Config{}, e.cfg.Table, claim.NewBatcher(claim.BatcherConfig{}, e.cfg.Table))
	return c
}

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

// Run serves until ctx ends, then drains and returns.
func (e *Entry) Run(ctx context.Context) {
	e.cfg.Log.Log(eventlog.ProcessStarted, "callers", e.cfg.Callers.Addr(), "peers", e.cfg.Peers.Addr())
	serving, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	peers := listen.New(listen.Config{
		Listener:  e.cfg.Peers,
		Hello:     e.hello,
		Authorize: e.cfg.Authorize,
		Serve:     e.serve,
		Log:       e.cfg.Log,
	})
	tasks.Go(func() { peers.Run(serving) })
	tasks.Go(func() { e.fleet.Run(serving) })
	tasks.Go(func() { e.dispatcher.Run(serving) })
	tasks.Go(func() { e.tick(serving) })
	tasks.Go(func() {
		e.follower.PollStore(serving, e.store, e.fleet.Size, rand.New(rand.NewSource(time.Now().UnixNano())))
	})
	tasks.Go(func() {
		if err := e.callers.Run(); err != nil {
			e.cfg.Log.Log(eventlog.ListenFailed, "err", err)
		}
	})
	<-ctx.Done()
	e.drain()
	stop()
	tasks.Wait()
	e.cfg.Log.Log(eventlog.ProcessStopped)
}

// drain serves what the balancer still sends and finishes what runs.
func (e *Entry) drain() {
	e.cfg.Log.Log(eventlog.ProcessStopping)
	e.draining.Store(true)
	e.callers.SetDraining()
	time.Sleep(e.cfg.BalancerLag)
	ctx, cancel := context.WithTimeout(context.Background(), e.cfg.DrainTimeout)
	defer cancel()
	_ = e.callers.Shutdown(ctx)
}

// serve handles a connection that a peer opened.
func (e *Entry) serve(_ context.Context, conn *wire.Conn, peer wire.Hello) {
	if peer.Role == wire.RoleAgent {
		_ = e.trackers.Serve(conn, peer)
		return
	}
	e.fleet.ServePeer(conn, peer, func(m wire.Message) { e.trackers.Handle(peer.Identity, m) })
}

func (e *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.follower.Tick()
			e.trackers.Tick()
			e.sendSummaries(ctx)
		case <-ctx.Done():
			return
		}
	}
}
