package deployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/auburnbend/auburnbend/entry"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/telemetry"
)

// EntryProcess is a running entry.
type EntryProcess struct {
	Entry *entry.Entry
	// URL is the base URL for callers.
	URL string
	// OperatorAddress is the address of the operator interface.
	OperatorAddress string
	Metrics         *telemetry.Metrics

	identity     model.Identity
	deployment   *Deployment
	peerListener *trackedListener
	closeOnce    sync.Once
}

// BlackholeConnections blackholes all open connections to agents and other entries;
// new ones work.
func (p *EntryProcess) BlackholeConnections() { p.peerListener.blackholeAll() }

// Kill ends the entry at once: all its connections break.
func (p *EntryProcess) Kill() {
	p.deployment.InstanceList.Remove(p.identity.Instance)
	p.peerListener.closeAll()
	p.close()
}

// Stop removes the entry from the instance list, drains it as SIGTERM does and ends
// it. It returns the error of the drain.
func (p *EntryProcess) Stop(ctx context.Context) error {
	p.deployment.InstanceList.Remove(p.identity.Instance)
	err := p.Entry.Drain(ctx)
	p.close()
	return err
}

func (p *EntryProcess) close() {
	p.closeOnce.Do(func() { _ = p.Entry.Close() })
}

func (d *Deployment) startEntry(domain model.FailureDomain, index int) error {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	peers := &trackedListener{Listener: tcp}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	metrics, err := telemetry.New(telemetry.Config{})
	if err != nil {
		return err
	}
	identity := d.identity(domain, fmt.Sprintf("%s-entry-%d", domain, index), peers)
	e := entry.New(entry.Config{
		Identity:         identity,
		Clock:            clock.System{},
		Rand:             rand.New(rand.NewPCG(uint64(d.rand.Int63()), 0)),
		Log:              d.log.With("instance", identity.Instance),
		Metrics:          entry.NewTelemetryMetrics(metrics),
		CallerListener:   callers,
		PeerListener:     peers,
		OperatorListener: operators,
		Dial:             peers.dial,
		Table:            d.Table,
		InstanceList:     d.InstanceList,
		BalancerLag:      balancerLag,
		MaxBodyBytes:     d.Options.EntryBodyBytes,
	})
	e.OnConfigChange(func(v *config.View) { metrics.DeclareLabels(v.Config) })
	e.Start()
	p := &EntryProcess{
		Entry: e, URL: "http://" + callers.Addr().String(), Metrics: metrics,
		OperatorAddress: operators.Addr().String(),
		identity:        identity, deployment: d, peerListener: peers,
	}
	d.Entries = append(d.Entries, p)
	d.InstanceList.Set(backing.Instance{ID: identity.Instance, Role: backing.RoleEntry, Location: identity.Location, Address: identity.Address})
	return nil
}

func (d *Deployment) identity(domain model.FailureDomain, name string, peers net.Listener) model.Identity {
	return model.Identity{
		Instance:   model.InstanceID(name),
		Generation: model.Generation(d.rand.Uint64()),
		Location:   model.Location{Region: model.Region(domain), FailureDomain: domain},
		Address:    peers.Addr().String(),
	}
}
