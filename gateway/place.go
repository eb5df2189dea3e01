package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

// grant is a lease that another entry has granted.
type grant struct {
	by    netip.AddrPort
	lease uint64
	// server is the chosen server, version the version of its weights.
	server  directory.Key
	version int
	// predicted, loadAge and occupancy are the values that the choice was based on.
	predicted, loadAge time.Duration
	occupancy          int
	// limitChecked is set if the other entry has considered the rate limit of the server
	// that this entry knows.
	limitChecked bool
	// firstEventWanted is set if the other entry needs a notice of the first event.
	firstEventWanted bool
}

// place finds a server for the request. The first placement counts as a request of
// the service; retries are charged to the retry budget in mayRetry. Requests to
// engines, and to services whose servers have rate limits or are cold, are placed by one
// entry of the region, which knows the placements of all. While no placer responds, each
// entry places its own requests with the load that agents report.
func (r *request) place(ctx context.Context, now time.Time) (*attempt, *placement.Refusal) {
	g := r.gateway
	r.summary.PlacedBy = ""
	req := r.preparePlacement(now)
	if refusal := g.refuseIfPaused(&req, now); refusal != nil {
		return nil, refusal
	}
	if g.peerLink != nil && (r.engine != nil || g.hasRateLimits(&req, now)) {
		granted, refusal, placer := g.peerLink.requestPlacement(ctx, &req)
		if placer.IsValid() {
			r.summary.PlacedBy = placer.String()
		}
		switch {
		case refusal != nil:
			return nil, refusal
		case granted != nil:
			if lease := g.adopt(granted, &req); lease != nil {
				return &attempt{lease: lease, granted: granted, placedBy: r.summary.PlacedBy}, nil
			}
			g.peerLink.endLease(granted, placement.Rejected)
			r.summary.PlacedBy = ""
		}
	}
	g.mu.Lock()
	lease, refusal := g.pick(req, g.now())
	g.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	a := &attempt{lease: lease}
	r.reportProgress(a, lease.Usage, nil)
	return a, nil
}

// preparePlacement counts the request if this is its first placement, and returns
// its placement.Request.
func (r *request) preparePlacement(now time.Time) placement.Request {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.summary.Attempts == 0 && r.dispatched == 0 && r.waitingSince.IsZero() {
		g.budget.CountRequest(r.service, now)
	}
	return r.placementRequest(now)
}

// adopt takes over a granted lease. It returns nil if this entry knows that the
// server must not get the request.
func (g *Gateway) adopt(granted *grant, req *placement.Request) *placement.Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	listing := g.directory.Get(granted.server)
	if listing == nil || granted.version < req.MinVersion || g.picker.Throttled(granted.server, g.now()) {
		return nil
	}
	if slices.Contains(req.Exclude, granted.server) {
		// A query lists only as many excluded servers as fit into a datagram.
		return nil
	}
	if listing.Draining || !g.picker.IsHome(listing, req) || g.picker.Evacuated(listing.Domain) {
		return nil
	}
	if g.picker.ReportedClosed(granted.server, g.now()) {
		return nil
	}
	if g.picker.Limited(granted.server, req, g.now()) && !granted.limitChecked {
		return nil
	}
	switch listed := listing.Weights[req.Model].Version; {
	case req.Model == "":
	case listed > granted.version:
		// The server has taken other weights than those that the other entry knows to be
		// intact.
		return nil
	case listed < granted.version:
		listing = g.updateWeights(listing, req.Model, granted.version)
	}
	lease := g.picker.Adopt(listing, req, g.now())
	lease.LimitChecked = granted.limitChecked
	lease.Predicted, lease.Occupancy, lease.LoadAge = granted.predicted, granted.occupancy, granted.loadAge
	return lease
}

// endAttempt ends the exchange of an attempt and its lease.
func (r *request) endAttempt(a *attempt, result placement.Result) {
	r.endExchange(a)
	g := r.gateway
	g.mu.Lock()
	usage := g.picker.Done(a.lease, result, g.now())
	g.mu.Unlock()
	r.reportProgress(a, usage, &result)
	if r.table.Ranked(r.service) {
		g.waitLines.serverFreed(r.lineKey())
	}
}

// reportProgress tells the placer of the request that the response has started or,
// with a result, that the attempt has ended. For requests that this entry placed
// itself, it reports its usage to the engine's agent.
func (r *request) reportProgress(a *attempt, usage placement.Usage, result *placement.Result) {
	g := r.gateway
	switch {
	case g.peerLink == nil:
	case a.granted == nil:
		g.sendEngineUsage(a.lease.Server, usage)
	case result != nil:
		g.peerLink.endLease(a.granted, *result)
	default:
		g.peerLink.notifyPlacer(a.granted, &peerlink.PlacementNotice{})
	}
}

// endLease ends a granted lease.
func (l *PeerLink) endLease(granted *grant, result placement.Result) {
	l.placements.endLease(granted.lease)
	l.notifyPlacer(granted, &peerlink.PlacementNotice{Ended: true, Result: uint8(result)})
}

// notifyPlacer sends a notice on a granted lease to the entry that granted it.
func (l *PeerLink) notifyPlacer(granted *grant, n *peerlink.PlacementNotice) {
	n.Entry, n.Incarnation, n.Lease = l.name, l.placements.incarnation, granted.lease
	l.send(encode(&peerlink.Datagram{PlacementNotice: n}), granted.by)
}

// placementDuty is the rank key for the placement of requests.
const placementDuty = "place"

// maxPlacers is the number of entries of a region that may place requests for the
// others: one does, the next one is on standby.
const maxPlacers = 2

// requestPlacement asks the placers in rank order until one responds, and returns
// its address. It returns neither a grant nor a refusal if this entry has to place
// the request itself.
func (l *PeerLink) requestPlacement(ctx context.Context, req *placement.Request) (*grant, *placement.Refusal, netip.AddrPort) {
	ranked := l.Rank(placementDuty)
	for i, to := range ranked[:min(len(ranked), maxPlacers)] {
		if to == l.self {
			if i > 0 && ctx.Err() == nil {
				l.noteAsked()
			}
			return nil, nil, netip.AddrPort{}
		}
		lease, response, ok := l.placements.begin(to, l.gateway.now())
		if !ok {
			continue
		}
		openLeases, all := l.placements.openLeases(to)
		query := l.newPlacementRequest(req)
		query.Lease, query.OpenLeases, query.OpenLeasesKnown = lease, openLeases, all
		l.send(encodePlacementRequest(query), to)
		if granted, refusal, ok := l.awaitPlacement(ctx, to, lease, response); ok {
			l.gateway.listExcluded(refusal, req.Service)
			return granted, refusal, to
		}
	}
	if ctx.Err() == nil {
		l.needReports()
	}
	return nil, nil, netip.AddrPort{}
}

// listExcluded adds the servers that this entry leaves out to the refusal of another entry,
// which names none; nil changes nothing.
func (g *Gateway) listExcluded(refusal *placement.Refusal, service string) {
	if refusal == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal.ExcludedServers = g.picker.ExcludedServers(service, g.now())
}

// encodePlacementRequest encodes a request in one datagram. If it is too long, it does
// not list the open leases: the placer then ends lost ones when they expire. If that
// does not suffice, it lists neither the evacuated failure domains, nor the team, nor the
// last of the servers to exclude, which are those that this entry has ejected: the entry
// checks the granted lease for the first, and may have to retry for the last.
func encodePlacementRequest(query *peerlink.PlacementRequest) []byte {
	for {
		data := encodeCompact(&peerlink.Datagram{PlacementRequest: query})
		switch {
		case len(data) <= maxDatagramBytes:
			return data
		case query.OpenLeasesKnown:
			query.OpenLeases, query.OpenLeasesKnown = nil, false
		case len(query.Evacuated) > 0:
			query.Evacuated = nil
		case query.Team != "":
			query.Team = ""
		case len(query.Exclude) > 0:
			query.Exclude = query.Exclude[:len(query.Exclude)-1]
		default:
			return data
		}
	}
}

// awaitPlacement waits for the response of one placer. It reports false if the
// placer does not respond in time or declines.
func (l *PeerLink) awaitPlacement(ctx context.Context, to netip.AddrPort, lease uint64, response <-chan *peerlink.PlacementResponse) (*grant, *placement.Refusal, bool) {
	timer := time.NewTimer(l.placements.timeout)
	defer timer.Stop()
	reason := "no answer in time"
	select {
	case resp := <-response:
		if resp.Declined {
			reason = "declined"
			break
		}
		l.placements.markResponsive(to)
		if resp.Server == nil {
			return nil, &placement.Refusal{
				Reason: placement.Reason(resp.Reason), RetryAfter: time.Duration(resp.RetryAfterMillis) * time.Millisecond,
				Predicted: time.Duration(resp.PredictedMicros) * time.Microsecond, MayWait: resp.MayWait,
			}, true
		}
		l.placements.recordGrant(lease, to)
		return &grant{
			by: to, lease: lease, server: directory.Key{ID: resp.Server.ID, StartUnixMilli: resp.Server.StartUnixMilli}, version: resp.Version,
			predicted: time.Duration(resp.PredictedMicros) * time.Microsecond, loadAge: time.Duration(resp.LoadAgeMicros) * time.Microsecond,
			occupancy: resp.Occupancy, limitChecked: resp.LimitChecked, firstEventWanted: resp.FirstEventWanted,
		}, nil, true
	case <-timer.C:
	case <-ctx.Done():
		// The caller has disconnected; this is no sign of a fault of the placer.
		l.placements.abandon(lease)
		return nil, nil, false
	}
	backoff := l.placements.recordFailure(lease, to, l.gateway.now())
	l.gateway.config.Log.Log(eventlog.PlacerLost, "entry", to, "reason", reason, "while_ms", backoff.Milliseconds())
	return nil, nil, false
}

// maxQueryDomains bounds the evacuated failure domains that a placement request lists,
// so that it fits into a datagram. A lease in another one is rejected when it arrives.
const maxQueryDomains = 8

// newPlacementRequest encodes a request for a placer. Servers that this entry avoids
// are excluded as well, and the evacuated failure domains and the rate limits that it
// knows are listed.
func (l *PeerLink) newPlacementRequest(req *placement.Request) *peerlink.PlacementRequest {
	g := l.gateway
	now := g.now()
	query := &peerlink.PlacementRequest{
		Entry: l.name, Incarnation: l.placements.incarnation, Domain: g.config.Placement.Domain, Service: req.Service, Model: req.Model,
		Version: req.Version, MinVersion: req.MinVersion,
		PromptTokens: req.PromptTokens, OutputTokens: req.OutputTokens,
		LatencyTargetMillis: req.LatencyTarget.Milliseconds(), RemainingMillis: req.Remaining.Milliseconds(), MayHaveRun: req.MayHaveRun,
		Homes: req.Homes.Regions, HomesOnly: req.Homes.Restricted,
	}
	if req.Ranked {
		query.Rank, query.Team = req.Rank, req.Team
		query.WaitedMillis, query.MaxWaitMillis = req.Waited.Milliseconds(), req.MaxWait.Milliseconds()
	}
	setQueryDeadlines(query, req.VersionDeadlines, now)
	g.mu.Lock()
	avoided := g.picker.Avoided(req.Service, now)
	query.Limits = g.queryLimits(req.Service, now)
	evacuated := g.picker.EvacuatedDomains()
	query.Evacuated = evacuated[:min(len(evacuated), maxQueryDomains)]
	g.mu.Unlock()
	for _, keys := range [][]directory.Key{req.Exclude, avoided} {
		for _, key := range keys {
			query.Exclude = append(query.Exclude, peerlink.ServerKey{ID: key.ID, StartUnixMilli: key.StartUnixMilli})
		}
	}
	return query
}
