package gateway

import (
	"net/netip"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/serving"
	"github.com/auburnbend/auburnbend/peerlink"
)

// isPlacer reports whether this entry may place requests for other entries.
func (l *PeerLink) isPlacer() bool {
	if l.gateway.Draining() {
		return false
	}
	ranked := l.Rank(placementDuty)
	return slices.Contains(ranked[:min(len(ranked), maxPlacers)], l.self)
}

// handlePlacementRequest responds to an entry that asks for a placement.
func (l *PeerLink) handlePlacementRequest(query *peerlink.PlacementRequest, from netip.AddrPort) {
	response := &peerlink.PlacementResponse{Declined: true}
	if l.isPlacer() {
		l.noteAsked()
		response = l.gateway.placeFor(query)
	}
	response.Incarnation, response.Lease = query.Incarnation, query.Lease
	l.send(encode(&peerlink.Datagram{PlacementResponse: response}), from)
}

// placeFor places a request of another entry. It declines if the service is unknown
// here, or if too few of its engines have current load reports.
func (g *Gateway) placeFor(query *peerlink.PlacementRequest) *peerlink.PlacementResponse {
	table := g.table.Load()
	if table == nil {
		return &peerlink.PlacementResponse{Declined: true}
	}
	service := table.Service(query.Service)
	if service == nil {
		return &peerlink.PlacementResponse{Declined: true}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if service.Engine != nil && !g.picker.HasLoadReports(query.Service, now) {
		return &peerlink.PlacementResponse{Declined: true}
	}
	req := placement.Request{
		Service: query.Service, Engine: service.Engine, ColdPerSecond: service.ColdRequestsPerSecond, Domain: query.Domain, Model: query.Model, Version: query.Version,
		MinVersion:   max(query.MinVersion, g.versions.MinVersion(query.Model, now)),
		PromptTokens: query.PromptTokens, OutputTokens: query.OutputTokens,
		LatencyTarget: milliseconds(query.LatencyTargetMillis), Remaining: milliseconds(query.RemainingMillis), MayHaveRun: query.MayHaveRun,
		Evacuated: query.Evacuated,
		Ranked:    table.Ranked(query.Service), Rank: query.Rank, Team: query.Team, Waited: milliseconds(query.WaitedMillis), MaxWait: milliseconds(query.MaxWaitMillis),
		Homes: serving.Homes{Restricted: query.HomesOnly, Regions: query.Homes},
	}
	req.VersionDeadlines = g.versions.Deadlines(query.Model, now).Merge(queryDeadlines(query, now))
	for _, key := range query.Exclude {
		req.Exclude = append(req.Exclude, directory.Key{ID: key.ID, StartUnixMilli: key.StartUnixMilli})
	}
	if query.OpenLeasesKnown {
		g.leases.Reconcile(query.Entry, query.Incarnation, query.OpenLeases, now)
	}
	g.mergeLimits(query.Limits)
	g.picker.SetLimitShare(g.limitShare())
	lease, refusal := g.leases.Grant(leaseID(query.Entry, query.Incarnation, query.Lease), req, now)
	if refusal != nil {
		return &peerlink.PlacementResponse{
			Reason: string(refusal.Reason), RetryAfterMillis: refusal.RetryAfter.Milliseconds(), PredictedMicros: refusal.Predicted.Microseconds(),
			MayWait: refusal.MayWait,
		}
	}
	g.sendEngineUsage(lease.Server, lease.Usage)
	server := peerlink.ServerKey{ID: lease.Server.ID, StartUnixMilli: lease.Server.StartUnixMilli}
	listed := slices.ContainsFunc(query.Limits, func(l peerlink.RateLimit) bool { return l.Server == server })
	return &peerlink.PlacementResponse{
		Server: &server, LimitChecked: lease.LimitChecked || listed, Version: lease.Server.Weights[query.Model].Version,
		PredictedMicros: lease.Predicted.Microseconds(), Occupancy: lease.Occupancy, LoadAgeMicros: lease.LoadAge.Microseconds(),
		FirstEventWanted: lease.FirstEventWanted,
	}
}

// handlePlacementNotice handles a notice of another entry on a lease that this entry
// granted.
func (l *PeerLink) handlePlacementNotice(n *peerlink.PlacementNotice) {
	g := l.gateway
	id := leaseID(n.Entry, n.Incarnation, n.Lease)
	g.mu.Lock()
	now := g.now()
	var lease *placement.Lease
	switch {
	case n.Ended:
		lease = g.leases.Done(id, placement.Result(n.Result), now)
	case n.FirstEvent:
		lease = g.leases.FirstEvent(id, now)
	default:
		lease = g.leases.ResponseStarted(id, now)
	}
	g.mu.Unlock()
	if lease != nil {
		g.sendEngineUsage(lease.Server, lease.Usage)
	}
}

// expireLeases ends granted leases whose entries have sent no notice of their end in
// time.
func (g *Gateway) expireLeases() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leases.Expire(g.now())
}

func leaseID(entry string, incarnation, number uint64) placement.LeaseID {
	return placement.LeaseID{Entry: entry, Incarnation: incarnation, Number: number}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
