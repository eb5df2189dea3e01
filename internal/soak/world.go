package soak

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// Binaries are the paths of the daemons.
type Binaries struct{ Gateway, Replica string }

// world is a deployment: daemons as processes, stand-ins of what they meet, and
// proxies between them.
type world struct {
	slot     int
	ledger   *ledger
	store    *platformtest.Store
	origin   *platformtest.Origin
	backends []*platformtest.Backend
	entries  []*process
	agents   []*process
	// storeLinks are the ways from processes to the store, entries first;
	// serverLinks those to the backend servers.
	storeLinks, serverLinks []*proxy
	originLink              *proxy
	config, version         int
	// poisons counts the requests that end servers.
	poisons atomic.Uint64
	// relayed makes the entries of a region read the store through one of them.
	relayed bool
	closers []func()
}

// newWorld starts everything. On an error, what has started is closed.
func newWorld(slot int, seed uint64, dir string, b Binaries) (*world, error) {
	w := &world{slot: slot, ledger: newLedger(), store: platformtest.NewStore(), config: 1, version: 1, relayed: seed%2 == 1}
	w.closers = append(w.closers, w.store.Close)
	for _, step := range []func() error{
		func() error { return w.startOrigin(seed) },
		w.startServers,
		func() error { return w.startDaemons(dir, b) },
	} {
		if err := step(); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func (w *world) startOrigin(seed uint64) (err error) {
	behind := address(w.slot, groupOrigin, 0, behindPort)
	if w.origin, err = platformtest.NewOrigin(behind, weights, seed); err != nil {
		return err
	}
	w.closers = append(w.closers, w.origin.Close)
	if w.originLink, err = w.link(address(w.slot, groupOrigin, 0, serverPort), behind); err != nil {
		return err
	}
	w.store.PutLiveConfig(declaration(w.config, address(w.slot, groupOrigin, 0, serverPort)))
	w.ledger.configs = append(w.ledger.configs, declared{version: w.config})
	return nil
}

// link starts a proxy that closes with the world.
func (w *world) link(listen, target string) (*proxy, error) {
	p, err := newProxy(listen, target)
	if err == nil {
		w.closers = append(w.closers, p.close)
	}
	return p, err
}

func (w *world) startServers() error {
	for i := range engineCount + plainCount {
		group, number := groupEngine, i
		c := platformtest.BackendConfig{
			ID: fmt.Sprintf("engine-%d", i), Service: enginesService, Slots: engineSlots, Weights: &weights, Version: w.version,
			WorkTime: eventTime, Events: eventsPerStream,
		}
		if i >= engineCount {
			group, number = groupPlain, i-engineCount
			c = platformtest.BackendConfig{
				ID: fmt.Sprintf("plain-%d", number), Service: plainServices[number%len(plainServices)], Slots: plainSlots, WorkTime: plainTime,
			}
		}
		c.Listen, c.Address = address(w.slot, group, number, behindPort), address(w.slot, group, number, serverPort)
		c.PoisonBody, c.RestartDelay = poisonBody, poisonPause
		c.Domain, c.Store, c.Recorder = domains[number/2%len(domains)], w.store, w.ledger
		link, err := w.link(c.Address, c.Listen)
		if err != nil {
			return err
		}
		w.serverLinks = append(w.serverLinks, link)
		server, err := platformtest.NewBackend(c)
		if err != nil {
			return err
		}
		w.closers = append(w.closers, server.Close)
		w.backends = append(w.backends, server)
	}
	return nil
}

func (w *world) startDaemons(dir string, b Binaries) error {
	for i := range entryCount {
		instance := platformtest.Instance{
			Name: fmt.Sprintf("entry-%d", i), IP: ip(w.slot, groupEntry, i), Domain: domains[i%len(domains)],
			CallerPort: callersPort, ReadyPort: readyPort,
		}
		p, err := w.startDaemon(dir, b.Gateway, instance)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, p)
	}
	for i := range engineCount {
		instance := platformtest.Instance{
			Name: fmt.Sprintf("agent-%d", i), IP: ip(w.slot, groupEngine, i), Domain: domains[i/2%len(domains)],
			EngineAddress: address(w.slot, groupEngine, i, serverPort), EngineService: enginesService,
		}
		p, err := w.startDaemon(dir, b.Replica, instance)
		if err != nil {
			return err
		}
		w.agents = append(w.agents, p)
	}
	return nil
}

func (w *world) startDaemon(dir, binary string, i platformtest.Instance) (*process, error) {
	i.StoreAddress = address(w.slot, groupStore, len(w.storeLinks), storePort)
	i.Region, i.Regions, i.FirstPort, i.Bounds = regions[i.Domain], regions, peerPort, bounds.Bounds
	if w.relayed {
		i.Bounds.StableMS = relayedStableMS
	}
	link, err := w.link(i.StoreAddress, w.store.Address())
	if err != nil {
		return nil, err
	}
	w.storeLinks = append(w.storeLinks, link)
	p, err := startProcess(dir, i.Name, binary, i.Settings())
	if err == nil {
		w.closers = append(w.closers, p.close)
	}
	return p, err
}

// close ends what was started, last first.
func (w *world) close() {
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
}

// pick returns one of several by number.
func pick[T any](list []T, number int) T { return list[number%len(list)] }

// do takes one step and returns when it has ended, or ctx has.
func (w *world) do(ctx context.Context, s Step) {
	entry, agent := pick(w.entries, s.Target), pick(w.agents, s.Target)
	switch s.Kind {
	case KillEntry:
		entry.signal(syscall.SIGKILL)
	case KillAgent:
		agent.signal(syscall.SIGKILL)
	case KillAll:
		for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
			p.signal(syscall.SIGKILL)
		}
	case PauseEntry:
		w.pause(ctx, entry, s.Duration)
	case PauseAgent:
		w.pause(ctx, agent, s.Duration)
	case StopEntry:
		entry.signal(syscall.SIGTERM)
	case ReloadEntry:
		entry.signal(syscall.SIGHUP)
	case StoreLink:
		w.faultLink(ctx, pick(w.storeLinks, s.Target), s)
	case ServerLink:
		w.faultLink(ctx, pick(w.serverLinks, s.Target), s)
	case OriginLink:
		w.faultLink(ctx, w.originLink, s)
	case StoreDown:
		w.store.FailWith(503)
		wait(ctx, s.Duration)
		w.store.FailWith(0)
	case StoreStale:
		w.store.ServeStale(true)
		wait(ctx, s.Duration)
		w.store.ServeStale(false)
	case StoreDropsHistory:
		w.store.DropHistory()
	case CrashServer:
		w.crash(ctx, pick(w.backends, s.Target), s.Duration)
	case ServerMisbehaves:
		server := pick(w.backends, s.Target)
		server.SetFault(platformtest.FaultDuplicate + platformtest.Fault(s.Target/len(w.backends))%(platformtest.FaultCount-1))
		wait(ctx, s.Duration)
		server.SetFault(platformtest.FaultNone)
	case DrainServer:
		w.drain(ctx, pick(w.backends, s.Target))
	case ServerSignalsDraining:
		w.leave(ctx, pick(w.backends, s.Target))
	case ServerSendsRetryAfter:
		pick(w.backends, s.Target).RejectRequests(s.Duration, pauseSeconds)
		wait(ctx, s.Duration)
	case SendPoison:
		w.askPoison(ctx, s)
	case CorruptStagedPiece:
		pick(w.backends[:engineCount], s.Target).CorruptStagedPiece(s.Target % weights.Pieces)
		w.ledger.note(func(l *ledger, now time.Duration) { l.rotten = append(l.rotten, now) })
	case CorruptOriginPieces:
		w.origin.SetCorruptShare(0.2)
		wait(ctx, s.Duration)
		w.origin.SetCorruptShare(0)
	case ChangeConfig:
		w.config++
		w.store.PutLiveConfig(declaration(w.config, address(w.slot, groupOrigin, 0, serverPort)))
		w.ledger.note(func(l *ledger, now time.Duration) { l.configs = append(l.configs, declared{w.config, now}) })
	case DeclareVersion:
		w.version++
		w.store.PutTargetVersion(model, w.version)
		w.ledger.note(func(l *ledger, now time.Duration) { l.weights = append(l.weights, declared{w.version, now}) })
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *world) pause(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	wait(ctx, d)
	p.signal(syscall.SIGCONT)
}

func (w *world) faultLink(ctx context.Context, p *proxy, s Step) {
	p.set(s.LinkFault)
	wait(ctx, s.Duration)
	p.set(LinkHealthy)
}

// crash ends a server and starts it again, as a new one.
func (w *world) crash(ctx context.Context, b *platformtest.Backend, d time.Duration) {
	b.Crash(lapse)
	wait(ctx, d)
	w.restart(b)
}

// drain makes a server leave and another one start in its place.
func (w *world) drain(ctx context.Context, b *platformtest.Backend) {
	id := b.Drain(bounds.drain() + stopsLater)
	w.ledger.note(func(l *ledger, now time.Duration) { l.left[id] = now })
	wait(ctx, bounds.drain()+2*stopsLater)
	w.restart(b)
}

// leave makes a server tell that it leaves, in its answers only, and another one
// start in its place.
func (w *world) leave(ctx context.Context, b *platformtest.Backend) {
	b.SignalDraining()
	wait(ctx, bounds.drain()+stopsLater)
	b.Crash(0)
	wait(ctx, stopsLater)
	w.restart(b)
}

// stopsLater is how much longer a leaving server runs than it must.
const stopsLater = 500 * time.Millisecond

func (w *world) restart(b *platformtest.Backend) {
	if err := b.Start(); err != nil {
		// The run goes on without the server; the checks tell if that matters.
		fmt.Fprintln(os.Stderr, "soak: server does not start again:", err)
	}
}
