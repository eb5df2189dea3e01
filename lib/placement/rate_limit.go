package placement

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

// homeRegionPart is the part of a server's rate limit that entries of its own region
// may use. The other regions share the rest evenly. The parts depend on the settings
// only, so that their sum holds without messages between regions.
const homeRegionPart = 0.7

// limitWindow is the period within which requests that were placed before a server
// named its limit count against it: they are still on the server.
const limitWindow = 4 * time.Second

// ServerLimit is the newest known rate limit of a server.
type ServerLimit struct {
	Server directory.Key
	ratelimit.Limit
}

// SetLimitShare sets the share of its region's part of each rate limit that this
// entry may use, from 0 to 1. The shares of the entries of a region add up to 1 at
// most. Without a call it is 1.
func (p *Picker) SetLimitShare(share float64) { p.limitShare = share }

// ObserveLimit records what a response says about its server's rate limit, and
// reports whether that has changed. sent is when the request was sent.
func (p *Picker) ObserveLimit(key directory.Key, s ratelimit.Statement, sent, now time.Time) bool {
	state := p.server(key)
	return p.limitChanged(key, state, state.limit.Observe(s, sent, now), now)
}

// MergeLimit records a limit that another entry has observed, and reports whether
// that is news.
func (p *Picker) MergeLimit(l ServerLimit, now time.Time) bool {
	state := p.server(l.Server)
	return p.limitChanged(l.Server, state, state.limit.Merge(l.PerSecond, l.StatedAt), now)
}

// limitChanged records the start or the end of a limit and returns changed.
func (p *Picker) limitChanged(key directory.Key, s *server, changed bool, now time.Time) bool {
	if s.rateLimited() {
		p.rateLimited[key] = true
		return changed
	}
	delete(p.rateLimited, key)
	if changed {
		s.limitLiftedAt = now
	}
	return changed
}

// RateLimited reports whether a server has a rate limit.
func (p *Picker) RateLimited(key directory.Key) bool {
	s := p.servers[key]
	return s != nil && s.rateLimited()
}

// Limits returns the rate limits of a service's servers.
func (p *Picker) Limits(service string) []ServerLimit {
	if len(p.rateLimited) == 0 {
		return nil
	}
	var limits []ServerLimit
	for _, listing := range p.directory.ByService(service) {
		if key := listing.Key(); p.RateLimited(key) {
			limits = append(limits, ServerLimit{key, p.servers[key].limit})
		}
	}
	return limits
}

// LimitsSince returns the rate limits of all servers, and those that were lifted
// after a certain time.
func (p *Picker) LimitsSince(lifted time.Time) []ServerLimit {
	var limits []ServerLimit
	for key, s := range p.servers {
		if s.rateLimited() || s.limitLiftedAt.After(lifted) {
			limits = append(limits, ServerLimit{key, s.limit})
		}
	}
	return limits
}

func (s *server) rateLimited() bool { return s.limit.PerSecond > 0 }

// overLimit reports whether the server has had the requests that its rate limit
// allows to this entry.
func (p *Picker) overLimit(s *server, req *Request, now time.Time) bool {
	if s.effectiveLimit(req, now).PerSecond <= 0 {
		return false
	}
	at, ok := p.nextAllowed(s, req, now)
	return !ok || now.Before(at)
}

// nextAllowed returns when the rate limit of a server, or the limit of a cold one, allows
// this entry the next request. ok is false if it allows none. Requests are an interval
// apart, and the requests within a window before are no more than the limit allows.
func (p *Picker) nextAllowed(s *server, req *Request, now time.Time) (at time.Time, ok bool) {
	s.dropOldPlacements(now)
	for _, l := range []struct {
		ratelimit.Limit
		window time.Duration
	}{{s.limit, limitWindow}, {s.coldLimit(req, now), coldWindow}} {
		if l.PerSecond <= 0 {
			continue
		}
		interval, ok := l.Interval(p.shareOf(s))
		if !ok {
			return time.Time{}, false
		}
		at = later(at, s.lastPlacedAt.Add(interval))
		recent := s.placedSince(now.Add(-l.window))
		if excess := len(recent) - max(1, int(l.window/interval)); excess > 0 {
			at = later(at, recent[excess-1].Add(l.window))
		}
	}
	return at, true
}

// placedSince returns the times of the requests placed after a time within limitWindow.
func (s *server) placedSince(after time.Time) []time.Time {
	first := len(s.recentlyPlaced)
	for first > 0 && s.recentlyPlaced[first-1].After(after) {
		first--
	}
	return s.recentlyPlaced[first:]
}

func (s *server) recordPlacement(now time.Time) {
	s.dropOldPlacements(now)
	s.lastPlacedAt = now
	s.recentlyPlaced = append(s.recentlyPlaced, now)
}

func (s *server) dropOldPlacements(now time.Time) {
	old := 0
	for old < len(s.recentlyPlaced) && now.Sub(s.recentlyPlaced[old]) >= limitWindow {
		old++
	}
	if old > 0 {
		s.recentlyPlaced = append(s.recentlyPlaced[:0], s.recentlyPlaced[old:]...)
	}
}

// shareOf returns the share of the server's rate limit that this entry may use.
func (p *Picker) shareOf(s *server) float64 {
	switch {
	case p.regionCount < 2:
		return p.limitShare
	case p.isLocal(s):
		return homeRegionPart * p.limitShare
	default:
		return (1 - homeRegionPart) / float64(p.regionCount-1) * p.limitShare
	}
}

// limitRefusal refuses a request if servers that could run it have a rate limit or are
// cold, and
// returns nil otherwise. It must be called only if no server is available. Each
// refused caller is told the next time at which a server has no other caller to
// expect, so that callers return one after another.
func (p *Picker) limitRefusal(req *Request, now time.Time) *Refusal {
	var next *server
	var at time.Time
	found := false
	for _, listing := range p.directory.ByService(req.Service) {
		s := p.state(listing)
		excluded, _ := p.exclusion(listing, req, now)
		limit := s.effectiveLimit(req, now)
		if excluded || req.excludes(listing.Key()) || limit.PerSecond <= 0 {
			continue
		}
		found = true
		allowed, ok := p.nextAllowed(s, req, now)
		if !ok {
			continue
		}
		interval, _ := limit.Interval(p.shareOf(s))
		free := later(later(allowed, s.bookedUntil.Add(interval)), now)
		if next == nil || free.Before(at) {
			next, at = s, free
		}
	}
	if !found {
		return nil
	}
	if next == nil {
		// The entry that places requests has the whole share.
		return &Refusal{Reason: Limited, RetryAfter: unavailableRetryAfter}
	}
	after := max(at.Sub(now), minRetryAfter)
	if req.Remaining <= 0 || after <= req.Remaining/retryAfterDivisor {
		// Callers that cannot wait that long return sooner or not at all.
		next.bookedUntil = at
	}
	return &Refusal{Reason: Limited, RetryAfter: after}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countRegions returns the number of regions of a deployment.
func countRegions(regions map[string]string) int {
	var distinct []string
	for _, region := range regions {
		if !slices.Contains(distinct, region) {
			distinct = append(distinct, region)
		}
	}
	return len(distinct)
}
