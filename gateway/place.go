package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

// grant is a place that another entry has granted.
type grant struct {
	by    netip.AddrPort
	lease uint64
	// server is the chosen server, version what it serves.
	server  directory.Key
	version int
	// predicted, occupancy and loadAge are what the choice rested on.
	predicted, loadAge time.Duration
	occupancy          int
}

// place places the request. The first placement counts as a request of the
// service, later ones draw on the retry budget in mayRepeat. Requests to engines
// are placed by one entry of the region, which knows them all; while none answers,
// each entry places its own with what the agents report.
func (r *request) place(now time.Time) (*placement.Lease, *placement.Refusal) {
	g := r.gateway
	r.granted, r.seen.PlacedBy = nil, ""
	demand := r.begin(now)
	if refusal := g.allPaused(&demand, now); refusal != nil {
		return nil, refusal
	}
	if r.engine != nil && g.loads != nil {
		granted, refusal, by := g.loads.ask(r.ctx, &demand)
		if by.IsValid() {
			r.seen.PlacedBy = by.String()
		}
		switch {
		case refusal != nil:
			return nil, refusal
		case granted != nil:
			if lease := g.adopt(granted, &demand); lease != nil {
				r.granted = granted
				return lease, nil
			}
			g.loads.end(granted, placement.Rejected)
			r.seen.PlacedBy = ""
		}
	}
	g.mu.Lock()
	lease, refusal := g.picker.Pick(demand, g.now())
	g.mu.Unlock()
	if lease != nil {
		r.tellProgress(lease, lease.Usage, nil)
	}
	return lease, refusal
}

// begin returns what the request needs. Servers from which this entry keeps away
// are named to others as well.
func (r *request) begin(now time.Time) placement.Request {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.seen.Attempts == 0 && r.reached == 0 {
		g.budget.CountRequest(r.service, now)
	}
	return r.demand(now)
}

// adopt takes over a granted place. It returns nil if this entry knows that the
// server must not get the request.
func (g *Gateway) adopt(granted *grant, d *placement.Request) *placement.Lease {
	g.mu.Lock()
	defer g.mu.Unlock()
	listing := g.directory.Get(granted.server)
	if listing == nil || listing.Draining || granted.version < d.MinVersion || g.picker.Throttled(granted.server, g.now()) {
		return nil
	}
	if d.Model != "" && listing.Weights[d.Model].Version < granted.version {
		listing = g.amendWeights(listing, d.Model, granted.version)
	}
	lease := g.picker.Adopt(listing, d, g.now())
	lease.Predicted, lease.Occupancy, lease.LoadAge = granted.predicted, granted.occupancy, granted.loadAge
	return lease
}

// done ends an attempt.
func (r *request) done(lease *placement.Lease, result placement.Result) {
	g := r.gateway
	g.mu.Lock()
	usage := g.picker.Done(lease, result, g.now())
	g.mu.Unlock()
	r.tellProgress(lease, usage, &result)
}

// tellProgress tells who has placed the request that the first answer has arrived
// or, with a result, that the attempt is over. What this entry has placed it tells
// the engine's agent.
func (r *request) tellProgress(lease *placement.Lease, usage placement.Usage, result *placement.Result) {
	g := r.gateway
	switch {
	case r.engine == nil || g.loads == nil:
	case r.granted == nil:
		g.loads.tellUsage(lease.Server.Address, usage)
	case result != nil:
		g.loads.end(r.granted, *result)
	default:
		g.loads.notify(r.granted, &peerlink.PlacementNotice{})
	}
}

// end ends a granted lease.
func (l *PeerLink) end(granted *grant, result placement.Result) {
	l.queries.ended(granted.lease)
	l.notify(granted, &peerlink.PlacementNotice{Ended: true, Result: uint8(result)})
}

func (l *PeerLink) notify(granted *grant, n *peerlink.PlacementNotice) {
	n.Entry, n.Incarnation, n.Lease = l.name, l.queries.start, granted.lease
	l.send(encode(&peerlink.Datagram{PlacementNotice: n}), granted.by)
}

// placing is the duty of placing requests.
const placing = "place"

// placers is the number of entries of a region that may place requests for the
// others: one does, and the next one stands by.
const placers = 2

// ask asks the entries that place requests, in order, until one answers, which it
// returns. There is neither a grant nor a refusal if this entry has to place the
// request.
func (l *PeerLink) ask(ctx context.Context, d *placement.Request) (*grant, *placement.Refusal, netip.AddrPort) {
	ranked := l.Rank(placing)
	for _, to := range ranked[:min(len(ranked), placers)] {
		if to == l.self {
			break
		}
		lease, answer, ok := l.queries.begin(to, l.gateway.now())
		if !ok {
			continue
		}
		open, all := l.queries.leases(to)
		q := l.query(d)
		q.Lease, q.OpenLeases, q.OpenLeasesKnown = lease, open, all
		l.send(encode(&peerlink.Datagram{PlacementRequest: q}), to)
		if granted, refusal, ok := l.await(ctx, to, lease, answer); ok {
			return granted, refusal, to
		}
	}
	return nil, nil, netip.AddrPort{}
}

// await waits for the answer of one entry. It reports false if there is none.
func (l *PeerLink) await(ctx context.Context, to netip.AddrPort, lease uint64, answer <-chan *peerlink.PlacementResponse) (*grant, *placement.Refusal, bool) {
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	reason := "no answer in time"
	select {
	case a := <-answer:
		if a.Declined {
			reason = "declined"
			break
		}
		l.queries.sound(to)
		if a.Server == nil {
			return nil, &placement.Refusal{
				Reason: placement.Reason(a.Reason), RetryAfter: time.Duration(a.RetryAfterMillis) * time.Millisecond,
				Predicted: time.Duration(a.PredictedMicros) * time.Microsecond,
			}, true
		}
		l.queries.granted(lease, to)
		return &grant{
			by: to, lease: lease, server: directory.Key{ID: a.Server.ID, StartUnixMilli: a.Server.StartUnixMilli}, version: a.Version,
			predicted: time.Duration(a.PredictedMicros) * time.Microsecond, loadAge: time.Duration(a.LoadAgeMicros) * time.Microsecond,
			occupancy: a.Occupancy,
		}, nil, true
	case <-timer.C:
	case <-ctx.Done():
		// The caller has left, which tells nothing of the other entry.
		l.queries.dropped(lease)
		return nil, nil, false
	}
	while := l.queries.failed(lease, to, l.gateway.now())
	l.gateway.config.Log.Log(eventlog.PlacerLost, "entry", to, "reason", reason, "while_ms", while.Milliseconds())
	return nil, nil, false
}

// query describes a demand to another entry.
func (l *PeerLink) query(d *placement.Request) *peerlink.PlacementRequest {
	g := l.gateway
	now := g.now()
	q := &peerlink.PlacementRequest{
		Entry: l.name, Incarnation: l.queries.start, Domain: g.config.Placement.Domain, Service: d.Service, Model: d.Model,
		Version: d.Version, MinVersion: d.MinVersion, NextVersion: d.NextVersion,
		PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens,
		LatencyTargetMillis: d.LatencyTarget.Milliseconds(), RemainingMillis: d.Remaining.Milliseconds(), MayHaveRun: d.MayHaveRun,
	}
	if d.NextVersion != 0 {
		q.NextMillis = d.NextVersionAt.Sub(now).Milliseconds()
	}
	g.mu.Lock()
	avoided := g.picker.Avoided(d.Service, now)
	g.mu.Unlock()
	for _, keys := range [][]directory.Key{d.Exclude, avoided} {
		for _, key := range keys {
			q.Exclude = append(q.Exclude, peerlink.ServerKey{ID: key.ID, StartUnixMilli: key.StartUnixMilli})
		}
	}
	return q
}
