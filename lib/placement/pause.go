package placement

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/pace"
)

const (
	// pauseJitter is the random part that is added to the retry delay of callers, as a
	// share of the wait for the end of a pause, so that they do not all return at once.
	// minPauseJitter is its minimum.
	pauseJitter    = 0.25
	minPauseJitter = 200 * time.Millisecond
	// maxListedExcluded bounds the servers that a refusal lists.
	maxListedExcluded = 6
)

// Pause records that a server asks this entry to send no requests until the given
// time. Of several pauses, the one that ends last applies. A pause does not count as
// a failure. It reports whether the pause is longer than the known one.
func (p *Picker) Pause(key directory.Key, until, now time.Time) bool {
	s := p.server(key)
	if !until.After(s.pausedUntil) {
		return false
	}
	if !s.paused(now) {
		s.pausedAt = now
	}
	s.pausedUntil = until
	if until.After(p.pausesUntil) {
		p.pausesUntil = until
	}
	p.limitPace(s, pace.Pause, until, min(until.Sub(s.pausedAt), pace.MaxRamp), now)
	return true
}

// RefuseIfPaused refuses a request if all servers that could run it have asked this
// entry for a pause. It returns nil if a server without a pause may run it, or if no
// server has asked for one.
func (p *Picker) RefuseIfPaused(req *Request, now time.Time) *Refusal {
	refusal := p.pauseRefusal(req, now)
	if refusal != nil {
		refusal.ExcludedServers = p.ExcludedServers(req.Service, now)
	}
	return refusal
}

// Throttled reports whether a server gets nothing from this entry now: it is paused,
// or its window after a pause is full. Other limits of its concurrency are left to the
// entry that has placed the request, which knows more requests.
func (p *Picker) Throttled(key directory.Key, now time.Time) bool {
	s := p.servers[key]
	return s != nil && (s.paused(now) || s.limits.pauseFull(s.usage.Running, s.occupancy(now), s.slots(), now))
}

// Paused reports whether a server has asked this entry to send no requests now.
func (p *Picker) Paused(key directory.Key, now time.Time) bool {
	s := p.servers[key]
	return s != nil && s.paused(now)
}

func (s *server) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// pauseRefusal refuses a request if all servers that could run it, including those
// that the request excludes, are paused. It returns nil otherwise.
func (p *Picker) pauseRefusal(req *Request, now time.Time) *Refusal {
	if !now.Before(p.pausesUntil) {
		return nil
	}
	var earliest time.Time
	for _, listing := range p.directory.ByService(req.Service) {
		if excluded, _ := p.exclusion(listing, req, now); excluded {
			continue
		}
		s := p.state(listing)
		switch {
		case s.paused(now):
			if earliest.IsZero() || s.pausedUntil.Before(earliest) {
				earliest = s.pausedUntil
			}
		case !req.excludes(listing.Key()):
			return nil
		}
	}
	if earliest.IsZero() {
		return nil
	}
	wait := earliest.Sub(now)
	jitter := max(scale(wait, pauseJitter), minPauseJitter)
	return &Refusal{Reason: Paused, RetryAfter: wait + time.Duration(p.rng.Int64N(int64(jitter)))}
}

// drainEvidence describes since when and from what source a server is known to be draining. It
// is empty if only its current row shows that.
func (p *Picker) drainEvidence(key directory.Key, now time.Time) string {
	e, known := p.directory.DrainEvidence(key)
	if !known {
		return ""
	}
	return fmt.Sprintf(" for %d ms (%s)", now.Sub(e.At).Milliseconds(), e.Source)
}

// ExcludedServers lists servers of a service that get no requests because they are
// draining, evacuated, paused, cold or rate-limited, for the caller of a refused request.
func (p *Picker) ExcludedServers(service string, now time.Time) []string {
	var out []string
	for _, listing := range p.directory.ByService(service) {
		if len(out) == maxListedExcluded {
			break
		}
		s := p.servers[listing.Key()]
		switch {
		case listing.Draining:
			out = append(out, listing.ID+": leaving"+p.drainEvidence(listing.Key(), now))
		case p.Evacuated(listing.Domain):
			out = append(out, listing.ID+": evacuated")
		case s == nil:
		case s.paused(now):
			out = append(out, fmt.Sprintf("%s: paused for %d ms", listing.ID, s.pausedUntil.Sub(now).Milliseconds()))
		case s.cold(now):
			out = append(out, fmt.Sprintf("%s: cold for %d ms", listing.ID, s.coldUntil.Sub(now).Milliseconds()))
		case s.rateLimited():
			out = append(out, fmt.Sprintf("%s: limited to %.3g/s", listing.ID, s.limit.PerSecond))
		}
	}
	return out
}
