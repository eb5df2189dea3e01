package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// placerLimitShare and standbyLimitShare are the shares of the region's part of rate
	// limits that the first two entries in rank order use. They add up to 1, so that the
	// standby may take over before the others notice that the first one has gone.
	placerLimitShare  = 0.9
	standbyLimitShare = 1 - placerLimitShare
	// maxQueryLimits bounds the rate limits that a placement request lists, so that it
	// fits into a datagram.
	maxQueryLimits = 8
	// liftResendPeriod is how long the end of a rate limit is repeated, which covers a
	// few lost datagrams.
	liftResendPeriod = 5 * time.Second
)

// limitShare returns the share of its region's part of rate limits that this entry
// may use. The first entries in rank order place the requests of all; the others use
// no limited server on their own.
func (g *Gateway) limitShare() float64 {
	l := g.peerLink
	if l == nil {
		return 1 / float64(max(1, g.config.Entries))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.members.limitShare(g.config.Entries, g.now())
}

// limitShare returns the share of this entry, as Gateway.limitShare. assumed is the
// number of entries of the region until an agent has named them.
func (m *members) limitShare(assumed int, now time.Time) float64 {
	ranked := m.rank(placementDuty, now)
	switch {
	case !m.known:
		return 1 / float64(max(1, assumed))
	case len(ranked) == 1:
		// The others may have gone, or this entry is cut off from them.
		return 1 / float64(m.count())
	case ranked[0] == m.self:
		return placerLimitShare
	case ranked[1] == m.self:
		return standbyLimitShare
	default:
		return 0
	}
}

// pick places a request of this entry, or with Request.Entry of another one. The
// caller holds mu.
func (g *Gateway) pick(req placement.Request, now time.Time) (*placement.Lease, *placement.Refusal) {
	g.picker.SetLimitShare(g.limitShare())
	return g.picker.Pick(req, now)
}

// hasRateLimits reports whether servers of the service of a request have rate limits, or
// are cold and so tolerate a limited number of requests per second.
func (g *Gateway) hasRateLimits(req *placement.Request, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.picker.Limits(req.Service)) > 0 || req.ColdPerSecond > 0 && g.picker.HasCold(req.Service, now)
}

// queryLimits returns the rate limits to list in a placement request. The caller
// holds mu.
func (g *Gateway) queryLimits(service string, now time.Time) []peerlink.RateLimit {
	limits := g.picker.Limits(service)
	return encodeLimits(limits[:min(len(limits), maxQueryLimits)], now)
}

// limitsToResend returns the rate limits to repeat in gossip, a random choice if there
// are many. The caller holds mu.
func (g *Gateway) limitsToResend(now time.Time) []peerlink.RateLimit {
	limits := g.picker.LimitsSince(now.Add(-liftResendPeriod))
	rand.Shuffle(len(limits), func(i, j int) { limits[i], limits[j] = limits[j], limits[i] })
	return encodeLimits(limits[:min(len(limits), maxResent)], now)
}

func encodeLimits(limits []placement.ServerLimit, now time.Time) []peerlink.RateLimit {
	var encoded []peerlink.RateLimit
	for _, l := range limits {
		encoded = append(encoded, peerlink.RateLimit{
			Server:    peerlink.ServerKey{ID: l.Server.ID, StartUnixMilli: l.Server.StartUnixMilli},
			PerSecond: l.PerSecond, AgeMillis: now.Sub(l.StatedAt).Milliseconds(),
		})
	}
	return encoded
}

// mergeLimits records rate limits that another entry has observed, and returns those
// that were news. The caller holds mu.
func (g *Gateway) mergeLimits(limits []peerlink.RateLimit) []peerlink.RateLimit {
	now := g.now()
	var fresh []peerlink.RateLimit
	for _, l := range limits {
		limit := placement.ServerLimit{Server: directory.Key{ID: l.Server.ID, StartUnixMilli: l.Server.StartUnixMilli}}
		limit.PerSecond, limit.StatedAt = l.PerSecond, l.StatedAt(now)
		if g.picker.MergeLimit(limit, now) {
			g.logRateLimit(limit.Server, l.PerSecond, directory.SourcePeer)
			fresh = append(fresh, l)
		}
	}
	return fresh
}

// logRateLimit logs a changed limit; zero means that the server lifted it.
func (g *Gateway) logRateLimit(server directory.Key, perSecond float64, source string) {
	g.config.Log.Log(eventlog.ServerRateLimited, "server", server.ID, "born", server.StartUnixMilli, "per_second", perSecond, "source", source)
}
