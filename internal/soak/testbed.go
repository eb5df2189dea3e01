package soak

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// Binaries are the paths of the daemons' binaries.
type Binaries struct{ Gateway, Replica string }

// testbed is a deployment with the daemons as processes, simulated backend servers,
// store and origin, and proxies between them.
type testbed struct {
	slot     int
	recorder *recorder
	store    *platformtest.Store
	origin   *platformtest.Origin
	backends []*platformtest.Backend
	entries  []*process
	agents   []*process
	// storeLinks are the links from the processes to the store, entries first.
	// serverLinks are the links to the backend servers.
	storeLinks, serverLinks []*proxy
	originLink              *proxy
	// configMu serializes the changes of the configuration.
	configMu sync.Mutex
	// restoreMu serializes the restores of the store.
	restoreMu sync.Mutex
	// reportLinks carry the datagrams between the entries and each agent, and are empty
	// unless the agents have addresses of their own.
	reportLinks []*platformtest.ReportLink
	// configVersion and weightsVersion are the newest declared versions.
	configVersion, weightsVersion int
	// weightsMu guards weightsVersion once steps run.
	weightsMu sync.Mutex
	// poisonCount determines the entry that gets the next poison request.
	poisonCount atomic.Uint64
	// relayStore makes the entries of a region read the store through one of them.
	relayStore bool
	// linkReports gives the agents addresses of their own, behind reportLinks. Agents don't
	// read the store through entries then.
	linkReports bool
	// closers release the resources of the testbed, in reverse order.
	closers []func()
}

// newTestbed starts a testbed. On an error, it closes what it has started.
func newTestbed(slot int, seed uint64, dir string, b Binaries, linkReports bool) (*testbed, error) {
	t := &testbed{slot: slot, linkReports: linkReports, recorder: newRecorder(), store: platformtest.NewStore(), configVersion: 1, weightsVersion: 1, relayStore: seed%2 == 1}
	t.closers = append(t.closers, t.store.Close)
	for _, start := range []func() error{
		func() error { return t.startOrigin(seed) },
		t.startServers,
		t.startTrap,
		func() error { return t.startDaemons(dir, b) },
	} {
		if err := start(); err != nil {
			t.close()
			return nil, err
		}
	}
	return t, nil
}

func (t *testbed) startOrigin(seed uint64) (err error) {
	upstream := address(t.slot, groupOrigin, 0, upstreamPort)
	if t.origin, err = platformtest.NewOrigin(upstream, weights, seed); err != nil {
		return err
	}
	t.closers = append(t.closers, t.origin.Close)
	if t.originLink, err = t.newLink(address(t.slot, groupOrigin, 0, serverPort), upstream); err != nil {
		return err
	}
	t.store.PutLiveConfig(liveConfig(t.configVersion, address(t.slot, groupOrigin, 0, serverPort)))
	t.recorder.configs = append(t.recorder.configs, declaredVersion{version: t.configVersion})
	return nil
}

// newLink starts a proxy that is closed with the testbed.
func (t *testbed) newLink(listen, target string) (*proxy, error) {
	p, err := newProxy(listen, target)
	if err == nil {
		t.closers = append(t.closers, p.close)
	}
	return p, err
}

func (t *testbed) startServers() error {
	for i := range engineCount + plainCount {
		group, number := groupEngine, i
		c := platformtest.BackendConfig{
			ID: fmt.Sprintf("engine-%d", i), Service: engineService, Slots: engineSlots, Weights: &weights, Version: t.weightsVersion,
			WorkTime: eventInterval, Events: eventsPerStream,
		}
		if i >= engineCount {
			group, number = groupPlain, i-engineCount
			c = platformtest.BackendConfig{
				ID: fmt.Sprintf("plain-%d", number), Service: plainServices[number%len(plainServices)], Slots: plainSlots, WorkTime: plainWorkTime,
			}
		}
		c.Listen, c.Address = address(t.slot, group, number, upstreamPort), address(t.slot, group, number, serverPort)
		c.PoisonBody, c.PoisonPart, c.RestartDelay = poisonBody, poisonPart, poisonRestartDelay
		c.Domain, c.Store, c.Recorder = domains[number/2%len(domains)], t.store, t.recorder
		link, err := t.newLink(c.Address, c.Listen)
		if err != nil {
			return err
		}
		t.serverLinks = append(t.serverLinks, link)
		server, err := platformtest.NewBackend(c)
		if err != nil {
			return err
		}
		t.closers = append(t.closers, server.Close)
		t.backends = append(t.backends, server)
	}
	return nil
}

func (t *testbed) startDaemons(dir string, b Binaries) error {
	for i := range entryCount {
		instance := platformtest.Instance{
			Name: fmt.Sprintf("entry-%d", i), IP: ip(t.slot, groupEntry, i), Domain: domains[i%len(domains)],
			CallerPort: callersPort, ReadyPort: readyPort,
		}
		p, err := t.startDaemon(dir, b.Gateway, instance)
		if err != nil {
			return err
		}
		t.entries = append(t.entries, p)
	}
	for i := range engineCount {
		instance := platformtest.Instance{
			Name: fmt.Sprintf("agent-%d", i), IP: ip(t.slot, groupEngine, i), Domain: domains[i/2%len(domains)],
			EngineAddress: address(t.slot, groupEngine, i, serverPort), EngineService: engineService,
		}
		if t.linkReports {
			instance.IP = ip(t.slot, groupAgent, i)
			if err := t.linkAgent(i); err != nil {
				return err
			}
		}
		p, err := t.startDaemon(dir, b.Replica, instance)
		if err != nil {
			return err
		}
		t.agents = append(t.agents, p)
	}
	return nil
}

// linkAgent makes an agent reachable at the address of its engine, through links.
func (t *testbed) linkAgent(i int) error {
	link, err := platformtest.NewReportLink(ip(t.slot, groupEngine, i), peerPort, ip(t.slot, groupAgent, i))
	if err != nil {
		return err
	}
	t.closers = append(t.closers, link.Close)
	t.reportLinks = append(t.reportLinks, link)
	_, err = t.newLink(address(t.slot, groupEngine, i, peerPort), address(t.slot, groupAgent, i, peerPort))
	return err
}

func (t *testbed) startDaemon(dir, binary string, i platformtest.Instance) (*process, error) {
	i.StoreAddress = address(t.slot, groupStore, len(t.storeLinks), storePort)
	i.Region, i.Regions, i.FirstPort, i.Bounds = regions[i.Domain], regions, peerPort, bounds.Bounds
	if t.relayStore {
		i.Bounds.StabilityMS = relayStabilityMS
	}
	link, err := t.newLink(i.StoreAddress, t.store.Address())
	if err != nil {
		return nil, err
	}
	t.storeLinks = append(t.storeLinks, link)
	p, err := startProcess(dir, i.Name, i.IP, binary, i.Settings())
	if err == nil {
		t.closers = append(t.closers, p.close)
	}
	return p, err
}

// close stops everything in the reverse order of its start.
func (t *testbed) close() {
	for i := len(t.closers) - 1; i >= 0; i-- {
		t.closers[i]()
	}
}

// pick returns the element of list at number modulo its length.
func pick[T any](list []T, number int) T { return list[number%len(list)] }

// runStep performs a step and returns when it or ctx has ended.
func (t *testbed) runStep(ctx context.Context, s Step) {
	entry, agent := pick(t.entries, s.Target), pick(t.agents, s.Target)
	switch s.Kind {
	case KillEntry:
		entry.signal(syscall.SIGKILL)
	case KillAgent:
		agent.signal(syscall.SIGKILL)
	case KillAll:
		for _, p := range append(append([]*process{}, t.entries...), t.agents...) {
			p.signal(syscall.SIGKILL)
		}
	case PauseEntry:
		t.pauseProcess(ctx, entry, s.Duration)
	case PauseAgent:
		t.pauseProcess(ctx, agent, s.Duration)
	case StopEntry:
		entry.signal(syscall.SIGTERM)
	case ReloadEntry:
		entry.signal(syscall.SIGHUP)
	case StoreLink:
		t.injectLinkFault(ctx, pick(t.storeLinks, s.Target), s)
	case ServerLink:
		t.injectLinkFault(ctx, pick(t.serverLinks, s.Target), s)
	case OriginLink:
		t.injectLinkFault(ctx, t.originLink, s)
	case StoreDown:
		t.store.FailWith(503)
		wait(ctx, s.Duration)
		t.store.FailWith(0)
	case StoreStale:
		t.store.ServeStale(true)
		wait(ctx, s.Duration)
		t.store.ServeStale(false)
	case OddRow:
		t.writeOddRows(ctx, s)
	case StoreDropsHistory:
		t.store.DropHistory()
	case CrashServer:
		t.crashServer(ctx, pick(t.backends, s.Target), s.Duration)
	case ServerMisbehaves:
		server := pick(t.backends, s.Target)
		server.SetFault(platformtest.FaultDuplicate + platformtest.Fault(s.Target/len(t.backends))%(platformtest.FaultCount-1))
		wait(ctx, s.Duration)
		server.SetFault(platformtest.FaultNone)
	case EnginesBreakStreams:
		t.breakStreams(ctx, s.Duration)
	case DrainServer:
		t.drainServer(ctx, pick(t.backends, s.Target))
	case ServerSignalsDraining:
		t.signalDraining(ctx, pick(t.backends, s.Target))
	case ServerSendsRetryAfter:
		pick(t.backends, s.Target).RejectRequests(s.Duration, retryAfterSeconds)
		wait(ctx, s.Duration)
	case ServerLimitsRate:
		server := pick(t.backends, s.Target)
		server.LimitRate(limitedRate)
		wait(ctx, s.Duration+minLimitDuration)
		server.LimitRate(0)
	case SendPoison:
		t.sendPoison(ctx, s)
	case SendPoisonPart:
		t.sendPoisonPart(ctx, s)
	case CorruptStagedPiece:
		pick(t.backends[:engineCount], s.Target).CorruptStagedPiece(s.Target % weights.Pieces)
	case RestartEntries:
		t.restart(ctx, t.entries, s)
	case RestartAgents:
		t.restart(ctx, t.agents, s)
	case LoseReports:
		t.loseReports(ctx, s)
	case SlowStaging, DelayOrders, DelayOrdersLong, CorruptAfterOrders, DamageStagedPieces, CorruptPiecesOften:
		t.disturbLoads(ctx, s)
	case CorruptOriginPieces:
		t.origin.SetCorruptShare(0.2)
		wait(ctx, s.Duration)
		t.origin.SetCorruptShare(0)
	case ChangeConfig:
		t.changeConfig()
	case StoreRestored:
		t.restoreStore(ctx, s)
	case ConfigsBehindCut:
		t.cutWhileConfigsChange(ctx, s)
	case DeclareVersion:
		t.declareVersion()
	}
}

// declareVersion declares the next version of the weights. Steps overlap.
func (t *testbed) declareVersion() {
	t.weightsMu.Lock()
	defer t.weightsMu.Unlock()
	t.weightsVersion++
	t.store.PutTargetVersion(model, t.weightsVersion)
	t.recorder.update(func(rec *recorder, now time.Duration) {
		rec.weights = append(rec.weights, declaredVersion{t.weightsVersion, now})
	})
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (t *testbed) pauseProcess(ctx context.Context, p *process, d time.Duration) {
	p.signal(syscall.SIGSTOP)
	wait(ctx, d)
	p.signal(syscall.SIGCONT)
}

func (t *testbed) injectLinkFault(ctx context.Context, p *proxy, s Step) {
	p.setFault(s.LinkFault)
	wait(ctx, s.Duration)
	p.setFault(LinkHealthy)
}

// crashServer crashes a server and restarts it under a new id after d.
func (t *testbed) crashServer(ctx context.Context, b *platformtest.Backend, d time.Duration) {
	b.Crash(crashedRowExpiry)
	wait(ctx, d)
	t.restartServer(b)
}

// drainServer drains a server through its row and then starts a new one in its place.
func (t *testbed) drainServer(ctx context.Context, b *platformtest.Backend) {
	id := b.Drain(bounds.drainTime() + drainSlack)
	t.recorder.update(func(rec *recorder, now time.Duration) { rec.drainingSince[id] = now })
	wait(ctx, bounds.drainTime()+2*drainSlack)
	t.restartServer(b)
}

// signalDraining drains a server that signals this only in its responses, and then
// starts a new one in its place.
func (t *testbed) signalDraining(ctx context.Context, b *platformtest.Backend) {
	b.SignalDraining()
	wait(ctx, bounds.drainTime()+drainSlack)
	b.Crash(0)
	wait(ctx, drainSlack)
	t.restartServer(b)
}

// drainSlack is how long a draining server continues to run after the bound.
const drainSlack = 500 * time.Millisecond

func (t *testbed) restartServer(b *platformtest.Backend) {
	if err := b.Start(); err != nil {
		// The run continues without the server. The checks detect whether that matters.
		fmt.Fprintln(os.Stderr, "soak: restarting a backend server failed:", err)
	}
}
