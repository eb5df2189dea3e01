package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/lib/watch"
	"github.com/auburnbend/auburnbend/platform"
	"github.com/auburnbend/auburnbend/replica"
)

// peersTimeout bounds the read of the list of peers.
const peersTimeout = 1500 * time.Millisecond

// firstVersion is the version that a model has before another one is declared.
const firstVersion = 1

// RunReplica keeps the engine of this instance on the declared version until ctx
// ends.
func RunReplica(ctx context.Context, p Process) error {
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
	o := &replicaOperator{service: s.EngineService, log: p.Log}
	peers := &peerList{source: store.Table(platform.TableServers), settings: s, log: p.Log}
	r := replica.New(replica.Config{
		Self: s.EngineAddress, Region: s.Region,
		Engine: platform.NewEngine(s.EngineAddress), Origin: o.currentOrigin, OriginTime: o.originTime,
		Peers:    peers.read,
		PeerPort: s.FirstPort, Listen: s.Address, VersionTime: s.Bounds.VersionTime,
		LinkRate: s.LinkRate,
		Clock:    clock.System{}, Log: p.Log,
	})
	o.replica = r
	m.observeReplica(r)
	beacon, err := replica.NewBeacon(r)
	if err != nil {
		return err
	}
	go beacon.Run(ctx)
	go watch.New(versionsFollowing(&s.Bounds), store.Table(platform.TableOperator), &platform.OperatorWatch{Sink: o}).Run(ctx)
	return r.Run(ctx)
}

// replicaOperator passes what the operator declares to a replica.
type replicaOperator struct {
	service string
	replica *replica.Replica
	log     *eventlog.Logger
	origin  atomic.Pointer[platform.Origin]
	// pieceTime is the time that the origin's link takes for one piece.
	pieceTime atomic.Int64
}

var _ platform.OperatorSink = (*replicaOperator)(nil)

func (o *replicaOperator) currentOrigin() replica.Origin {
	if origin := o.origin.Load(); origin != nil {
		return origin
	}
	return nil
}

func (o *replicaOperator) originTime() time.Duration { return time.Duration(o.pieceTime.Load()) }

// Config takes the models of the engine's service and the origin. A model
// without a declared version has its first one.
func (o *replicaOperator) Config(c *serving.Config) {
	rate, pieceBytes := 0.0, 0
	for i := range c.Services {
		service := &c.Services[i]
		if service.Origin != nil {
			rate = service.Origin.Rate
			if known := o.origin.Load(); known == nil || known.Address() != service.Origin.Address {
				o.origin.Store(platform.NewOrigin(service.Origin.Address))
			}
		}
		if service.Name == o.service && service.Engine != nil && len(service.Engine.Models) > 0 {
			o.replica.Declare(service.Engine.Models[0], firstVersion)
			pieceBytes = service.Engine.PieceBytes
		}
	}
	if rate > 0 {
		o.pieceTime.Store(int64(float64(pieceBytes) / rate * float64(time.Second)))
	}
	o.log.Log(eventlog.LiveConfigInForce, "config", c.Version, "revision", c.Revision, "routes", len(c.Routes), "teams", len(c.Teams))
}

func (o *replicaOperator) Wanted(w platform.WantedVersion, fresh bool) {
	o.log.Log(eventlog.VersionDeclared, "model", w.Model, "version", w.Version, "fresh", fresh)
	o.replica.Declare(w.Model, w.Version)
}

func (o *replicaOperator) Unreadable(row watch.Row, err error) { logUnreadable(o.log, row, err) }

func (o *replicaOperator) Lost(err error) { o.log.Log(eventlog.StoreLost, "err", err) }

func (o *replicaOperator) Regained() { o.log.Log(eventlog.StoreRegained) }

// peerList reads the engines of this instance's service from the store, without
// those that leave.
type peerList struct {
	source   watch.Source
	settings *platform.Settings
	log      *eventlog.Logger
}

func (l *peerList) read() ([]replica.Peer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), peersTimeout)
	defer cancel()
	rows, err := l.source.Snapshot(ctx)
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
