package signals

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/internal/loopback"
	"github.com/auburnbend/auburnbend/internal/node"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	host, apiKey  = "site.example", "key"
	engineService = "engines"
	plainService  = "desk"
	serverSlots   = 6
	serverPort    = 9000
	callerPort    = 8005
	firstSubnet   = 100
	// workTime is the time that a response, or an event of a stream, takes.
	workTime  = 5 * time.Millisecond
	streamLen = 3
)

// Groups of addresses, the third byte of each.
const (
	groupOrigin = 1 + iota
	groupEngine
	groupPlain
	groupEntry
)

var (
	domains = []string{"north", "south"}
	regions = map[string]string{"north": "n", "south": "s"}
	weights = platformtest.Weights{Model: "m", Pieces: 8, PieceSize: 512}
	routes  = []platformtest.Route{
		{Host: host, Prefix: "/status/", Kind: "idempotent", Service: plainService, TimeoutMS: 3000, TargetMS: 500, MaxServers: 2},
		{Host: host, Prefix: "/order/", Kind: "non_idempotent", Service: plainService, TimeoutMS: 3000, TargetMS: 500, MaxServers: 2},
		{Host: host, Prefix: "/draft/", Kind: "streaming", Service: engineService, TimeoutMS: 3000, TargetMS: 500, MaxServers: 2, Resumable: true},
	}
)

// fleet runs entries, agents and stand-ins of the platform.
type fleet struct {
	subnet   int
	store    *platformtest.Store
	backends []*platformtest.Backend
	recorder *recorder
	entries  []string
	stop     context.CancelFunc
	daemons  sync.WaitGroup
	closers  []func()
	// agentCallsInPause is the largest number of calls of an agent in a pause.
	agentCallsInPause int
}

// countAgentCalls counts the calls that engines which have asked their agents for a pause got
// between two points in time.
func (f *fleet) countAgentCalls(pausing []*platformtest.Backend, from, to time.Time) {
	for _, b := range pausing {
		calls := 0
		for _, at := range b.AgentCalls() {
			if at.After(from) && at.Before(to) {
				calls++
			}
		}
		f.agentCallsInPause = max(f.agentCallsInPause, calls)
	}
}

// startFleet starts a fleet whose settings files are in a directory.
func startFleet(ctx context.Context, o options, directory string) (*fleet, error) {
	subnet, reservation, err := loopback.ReserveSubnet(firstSubnet)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{subnet: subnet, store: platformtest.NewStore(), recorder: newRecorder(), stop: stop}
	f.closers = append(f.closers, func() { _ = reservation.Close() }, f.store.Close)
	if err := f.start(ctx, o, directory); err != nil {
		f.close()
		return nil, merry.Wrap(err)
	}
	return f, nil
}

func (f *fleet) start(ctx context.Context, o options, directory string) error {
	origin, err := platformtest.NewOrigin(f.address(groupOrigin, 0, serverPort), weights, o.seed)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, origin.Close)
	f.store.PutLiveConfig(platformtest.LiveConfig{
		Version: 1, Routes: routes, EngineService: engineService, Slots: serverSlots, Weights: weights, Origin: f.address(groupOrigin, 0, serverPort),
		OriginMbps: 100, PlainServices: []string{plainService}, Team: "carvers", APIKey: apiKey,
	})
	for i := range o.engines {
		c := platformtest.BackendConfig{ID: fmt.Sprint("engine-", i), Service: engineService, Address: f.address(groupEngine, i, serverPort), Weights: &weights, Version: 1, Events: streamLen}
		if err := f.startBackend(c, i); err != nil {
			return err
		}
		agent := platformtest.Instance{Name: fmt.Sprint("agent-", i), IP: f.ip(groupEngine, i), EngineAddress: c.Address, EngineService: engineService}
		if err := f.startDaemon(ctx, node.RunReplica, agent, i, directory); err != nil {
			return err
		}
	}
	for i := range o.plain {
		c := platformtest.BackendConfig{ID: fmt.Sprint("desk-", i), Service: plainService, Address: f.address(groupPlain, i, serverPort)}
		if err := f.startBackend(c, i); err != nil {
			return err
		}
	}
	for i := range o.entries {
		entry := platformtest.Instance{Name: fmt.Sprint("entry-", i), IP: f.ip(groupEntry, i), CallerPort: callerPort, ReadyPort: callerPort + 1}
		if err := f.startDaemon(ctx, node.RunGateway, entry, i, directory); err != nil {
			return err
		}
		f.entries = append(f.entries, f.address(groupEntry, i, callerPort))
	}
	return nil
}

func (f *fleet) startBackend(c platformtest.BackendConfig, number int) error {
	c.Listen, c.Domain, c.Slots, c.WorkTime = c.Address, domains[number%len(domains)], serverSlots, workTime
	c.Store, c.Recorder = f.store, f.recorder
	b, err := platformtest.NewBackend(c)
	if err != nil {
		return err
	}
	f.backends = append(f.backends, b)
	f.closers = append(f.closers, b.Close)
	return nil
}

// startDaemon runs a daemon until ctx ends.
func (f *fleet) startDaemon(ctx context.Context, daemon func(context.Context, node.Environment) error, i platformtest.Instance, number int, directory string) error {
	i.Domain = domains[number%len(domains)]
	i.Region, i.Regions, i.FirstPort, i.StoreAddress = regions[i.Domain], regions, 7700, f.store.Address()
	i.Bounds = platformtest.Bounds{
		DrainMS: int(drainBound.Milliseconds()), StopMS: 4000, ConfigMS: 2000, StabilityMS: 1000, VersionMS: 8000, EvacuateMS: 1000,
		RetryRatio: 0.2, RetrySlack: 100, RetryWindowS: 10,
	}
	path := filepath.Join(directory, i.Name+".yaml")
	if err := os.WriteFile(path, []byte(i.Settings()), 0o600); err != nil {
		return err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	f.daemons.Go(func() {
		if err := daemon(ctx, node.Environment{Settings: settings, Log: eventlog.Discard()}); err != nil {
			fmt.Fprintln(os.Stderr, i.Name, "ended:", err)
		}
	})
	return nil
}

// close stops the daemons, and then everything else in the reverse order of its start.
func (f *fleet) close() {
	f.stop()
	f.daemons.Wait()
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

func (f *fleet) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.subnet, group, number+1)
}

func (f *fleet) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", f.ip(group, number), port)
}
