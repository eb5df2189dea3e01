package node

import (
	"context"
	"errors"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/relay"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/replica"
)

// peersTimeout bounds the read of the list of peers.
const peersTimeout = 1500 * time.Millisecond

// RunReplica keeps the engine of this instance on the declared version until ctx
// ends.
func RunReplica(ctx context.Context, p Environment) error {
	s := p.Settings
	if s.EngineAddress == "" {
		return errors.New("the settings name no engine on this instance")
	}
	m, err := openMetrics(s.Address, p.MetricsPort)
	if err != nil {
		return err
	}
	defer m.Close()
	store := platform.NewStore(s.StoreAddress)
	targets := &replicaTargets{service: s.EngineService, source: store.Table(platform.TableOperator), log: p.Log}
	peers := &peerList{settings: s, log: p.Log}
	r := replica.New(replica.Config{
		EngineAddress: s.EngineAddress, Region: s.Region,
		Engine: platform.NewEngine(s.EngineAddress), Origin: targets.currentOrigin, OriginPieceTime: targets.originTime,
		OnTarget: targets.announced,
		Peers:    peers.read,
		PeerPort: s.FirstPort, Listen: s.Address, MaxRolloutTime: s.Bounds.VersionTime,
		LinkRate: s.LinkRate,
		Clock:    clock.System{}, Log: p.Log,
	})
	targets.replica = r
	m.observeReplica(r)
	beacon, err := replica.NewLoadReporter(r)
	if err != nil {
		return err
	}
	// Entries have the table already; the store is read where none answers.
	peers.reader = relay.NewReader(platform.TableServers, store.Table(platform.TableServers), beacon.Entries)
	go beacon.Run(ctx)
	p.followSettings(ctx, func(s *platform.Settings) { r.SetLimits(s.Bounds.VersionTime, s.LinkRate) })
	go targets.run(ctx)
	return r.Run(ctx)
}

// peerList reads the engines of this instance's service, without those that leave.
type peerList struct {
	reader   *relay.Reader
	settings *platform.Settings
	log      *eventlog.Logger
}

func (l *peerList) read() ([]replica.Peer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peersTimeout)
	defer cancel()
	rows, err := l.reader.Read(ctx)
	if err != nil {
		return nil, err
	}
	var peers []replica.Peer
	for _, s := range platform.DecodeServers(rows, func(row watch.Row, err error) { logUnreadable(l.log, row, err) }) {
		if s.Service == l.settings.EngineService && !s.Draining {
			peers = append(peers, replica.Peer{Address: s.Address, Region: l.settings.Regions[s.Domain]})
		}
	}
	return peers, nil
}
