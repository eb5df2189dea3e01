package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/pause"
	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/rowage"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/replica"
)

// peerListTimeout limits one read of the list of peers.
const peerListTimeout = 1500 * time.Millisecond

// RunReplica loads the declared version of the weights into the engine of this
// instance, and further ones as they are declared, until ctx ends.
func RunReplica(ctx context.Context, env Environment) error {
	s := env.Settings
	if s.EngineAddress == "" {
		return errors.New("settings: no engine on this instance is configured")
	}
	m, err := openMetrics(s, env.MetricsPort)
	if err != nil {
		return err
	}
	defer m.Close()
	store := platform.NewStore(s.StoreAddress)
	targets := &targetTracker{service: s.EngineService, source: store.Table(platform.TableOperator), log: env.Log}
	peers := &peerList{settings: s, log: env.Log}
	r := replica.New(replica.Config{
		EngineAddress: s.EngineAddress, Region: s.Region,
		Engine: platform.NewEngine(s.EngineAddress), Origin: targets.currentOrigin, OriginPieceTime: targets.originPieceTime, Layers: targets.modelLayers, Pieces: targets.modelPieces,
		OnTarget: targets.handleAnnouncement,
		Peers:    peers.read,
		PeerPort: s.FirstPort, Listen: s.Address, MaxRolloutTime: s.Bounds.VersionTime,
		LinkRate: s.LinkRate, MaxPeerConns: newConnLimits(s).peers,
		Clock: clock.System{}, Log: env.Log,
	})
	targets.replica = r
	targets.pauses = pause.NewMonitor(clock.System{}, clock.Boot{}, r.Suspended)
	targets.ages = rowage.NewTracker(targets.pauses)
	m.registerReplicaMetrics(r)
	reporter, err := replica.NewLoadReporter(r)
	if err != nil {
		return err
	}
	// Entries already hold the table. The store is read only if none of them answers.
	peers.reader = relay.NewReader(platform.TableServers, store.Table(platform.TableServers), reporter.Entries)
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		cancel()
		running.Wait()
	}()
	running.Go(func() { targets.pauses.Run(ctx) })
	running.Go(func() { reporter.Run(ctx) })
	env.watchSettings(ctx, func(s *platform.Settings) { r.SetLimits(s.Bounds.VersionTime, s.LinkRate) })
	go targets.run(ctx)
	return r.Run(ctx)
}

// peerList reads the engines of this instance's service that are not draining.
type peerList struct {
	reader   *relay.Reader
	settings *platform.Settings
	log      *eventlog.Logger

	// mu guards decoder.
	mu      sync.Mutex
	decoder platform.ServerDecoder
}

func (l *peerList) read() ([]replica.Peer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peerListTimeout)
	defer cancel()
	rows, err := l.reader.Read(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	servers := l.decoder.Decode(rows, func(row watch.Row, err error) { logInvalidRow(l.log, row, err) })
	l.mu.Unlock()
	var peers []replica.Peer
	for _, s := range servers {
		if s.Service == l.settings.EngineService && !s.Draining {
			peers = append(peers, replica.Peer{Address: s.Address, Region: l.settings.Regions[s.Domain]})
		}
	}
	return peers, nil
}
