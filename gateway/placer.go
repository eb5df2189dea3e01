package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

// places reports whether this entry may place requests of other entries.
func (l *PeerLink) places() bool {
	if l.gateway.draining.Load() {
		return false
	}
	ranked := l.Rank(placing)
	return slices.Contains(ranked[:min(len(ranked), placers)], l.self)
}

// answer answers an entry that wants a request placed.
func (l *PeerLink) answer(q *peerlink.PlacementRequest, from netip.AddrPort) {
	a := &peerlink.PlacementResponse{Declined: true}
	if l.places() {
		a = l.gateway.placeFor(q)
	}
	a.Incarnation, a.Lease = q.Incarnation, q.Lease
	l.send(encode(&peerlink.Datagram{PlacementResponse: a}), from)
}

// placeFor places a request of another entry. It declines what it does not know.
func (g *Gateway) placeFor(q *peerlink.PlacementRequest) *peerlink.PlacementResponse {
	table := g.table.Load()
	if table == nil {
		return &peerlink.PlacementResponse{Declined: true}
	}
	service := table.Service(q.Service)
	if service == nil || service.Engine == nil {
		return &peerlink.PlacementResponse{Declined: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if !g.picker.HasLoadReports(q.Service, now) {
		return &peerlink.PlacementResponse{Declined: true}
	}
	d := placement.Request{
		Service: q.Service, Engine: service.Engine, Domain: q.Domain, Model: q.Model, Version: q.Version,
		MinVersion:   max(q.MinVersion, g.versions.MinVersion(q.Model, now)),
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens,
		LatencyTarget: milliseconds(q.LatencyTargetMillis), Remaining: milliseconds(q.RemainingMillis), MayHaveRun: q.MayHaveRun,
	}
	d.NextVersion, d.NextVersionAt = g.versions.NextMinVersion(q.Model, now)
	if due := now.Add(milliseconds(q.NextMillis)); q.NextVersion != 0 && (d.NextVersion == 0 || due.Before(d.NextVersionAt)) {
		d.NextVersion, d.NextVersionAt = q.NextVersion, due
	}
	for _, key := range q.Exclude {
		d.Exclude = append(d.Exclude, directory.Key{ID: key.ID, StartUnixMilli: key.StartUnixMilli})
	}
	if q.OpenLeasesKnown {
		g.granted.Reconcile(q.Entry, q.Incarnation, q.OpenLeases, now)
	}
	lease, refusal := g.granted.Grant(leaseID(q.Entry, q.Incarnation, q.Lease), d, now)
	if refusal != nil {
		return &peerlink.PlacementResponse{
			Reason: string(refusal.Reason), RetryAfterMillis: refusal.RetryAfter.Milliseconds(), PredictedMicros: refusal.Predicted.Microseconds(),
		}
	}
	g.loads.tellUsage(lease.Server.Address, lease.Usage)
	return &peerlink.PlacementResponse{
		Server: &peerlink.ServerKey{ID: lease.Server.ID, StartUnixMilli: lease.Server.StartUnixMilli}, Version: lease.Server.Weights[q.Model].Version,
		PredictedMicros: lease.Predicted.Microseconds(), Occupancy: lease.Occupancy, LoadAgeMicros: lease.LoadAge.Microseconds(),
	}
}

// takeNotice takes what another entry tells of a lease that it got here.
func (l *PeerLink) takeNotice(n *peerlink.PlacementNotice) {
	g := l.gateway
	id := leaseID(n.Entry, n.Incarnation, n.Lease)
	g.mu.Lock()
	now := g.now()
	var lease *placement.Lease
	if n.Ended {
		lease = g.granted.Done(id, placement.Result(n.Result), now)
	} else {
		lease = g.granted.ResponseStarted(id, now)
	}
	g.mu.Unlock()
	if lease != nil {
		l.tellUsage(lease.Server.Address, lease.Usage)
	}
}

// expireGranted ends the leases of entries that have told nothing of their ends.
func (g *Gateway) expireGranted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted.Expire(g.now())
}

func leaseID(entry string, start, number uint64) placement.LeaseID {
	return placement.LeaseID{Entry: entry, Incarnation: start, Number: number}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
