package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/pace"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

// coldWindow is the period within which requests that were placed before a server became
// cold count against what it tolerates: that is counted in periods of this length.
const coldWindow = time.Second

// ObserveCold records until when the listed servers are cold. It must be called after
// each change of the directory: rows state how much longer a server is cold when they
// are written.
func (p *Picker) ObserveCold(now time.Time) {
	p.directory.ForEach(func(listing *directory.Server) {
		s := p.servers[listing.Key()]
		if s == nil {
			if listing.ColdTime <= 0 {
				return
			}
			s = p.state(listing)
		}
		switch {
		case listing.ColdTime <= 0:
			if s.cold(now) && s.limits.general.isFor(pace.Cold) {
				p.limitPace(s, pace.Cold, now, pace.MaxRamp, now)
			}
			s.coldUntil = time.Time{}
		case s.coldRevision != listing.Revision || s.coldTime != listing.ColdTime:
			s.coldUntil = now.Add(listing.ColdTime)
			p.limitAfterCold(s, listing.Service, now)
		}
		s.coldRevision, s.coldTime = listing.Revision, listing.ColdTime
	})
}

// limitAfterCold limits the concurrency of a server from the end of its cold period on. That
// takes the place of the limit after a start: while it is cold, its rate is limited.
func (p *Picker) limitAfterCold(s *server, service string, now time.Time) {
	if h := p.histories[service]; h != nil && h.activity.Settled(now) {
		s.startedAt = time.Time{}
		p.limitPace(s, pace.Cold, s.coldUntil, pace.MaxRamp, now)
	}
}

// HasCold reports whether a server of a service is cold.
func (p *Picker) HasCold(service string, now time.Time) bool {
	for _, listing := range p.directory.ByService(service) {
		if s := p.servers[listing.Key()]; s != nil && s.cold(now) {
			return true
		}
	}
	return false
}

// Limited reports whether the number of requests per second that a server may get is
// limited: it has named a rate limit, or it is cold.
func (p *Picker) Limited(key directory.Key, req *Request, now time.Time) bool {
	s := p.servers[key]
	return s != nil && s.effectiveLimit(req, now).PerSecond > 0
}

func (s *server) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// effectiveLimit returns the lower one of the rate limit that the server has named and
// of what it tolerates while it is cold. Both apply to all entries together.
func (s *server) effectiveLimit(req *Request, now time.Time) ratelimit.Limit {
	cold := s.coldLimit(req, now)
	if cold.PerSecond > 0 && (!s.rateLimited() || cold.PerSecond < s.limit.PerSecond) {
		return cold
	}
	return s.limit
}

// coldLimit returns what the server tolerates while it is cold, or no limit.
func (s *server) coldLimit(req *Request, now time.Time) ratelimit.Limit {
	if !s.cold(now) {
		return ratelimit.Limit{}
	}
	return ratelimit.Limit{PerSecond: req.ColdPerSecond}
}
