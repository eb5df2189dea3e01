package placement

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

const (
	// maxResume bounds the time after a pause in which a server gets its load back;
	// it is as long as the pause if that is shorter.
	maxResume = 2 * time.Second
	// pauseSpread is the part of the wait for the end of a pause over which callers
	// are told to come back, so that they do not return together; minPauseSpread is
	// the least.
	pauseSpread    = 0.25
	minPauseSpread = 200 * time.Millisecond
	// maxLeftOut bounds the servers that a refusal names.
	maxLeftOut = 6
)

// Pause takes note that a server wants nothing from this entry until a moment. Of
// several pauses the one that ends last holds. It is no failure of the server. It
// reports whether the pause is longer than what was known.
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
	return true
}

// RefuseIfPaused refuses a request that only servers could run which want nothing from
// this entry now. It returns nil if another one may run it, or none at all.
func (p *Picker) RefuseIfPaused(d *Request, now time.Time) *Refusal {
	refusal := p.pausing(d, now)
	if refusal != nil {
		refusal.ExcludedServers = p.leftOut(d.Service, now)
	}
	return refusal
}

// Throttled reports whether a server gets nothing from this entry now because of a pause
// that it wants or has just had.
func (p *Picker) Throttled(key directory.Key, now time.Time) bool {
	s := p.servers[key]
	return s != nil && (s.paused(now) || s.resuming(now))
}

func (s *server) paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// resuming reports whether the server has as many requests of this entry as it
// may get a while after a pause: at first one, at last as many as it has slots.
func (s *server) resuming(now time.Time) bool {
	if s.pausedUntil.IsZero() {
		return false
	}
	ramp := min(s.pausedUntil.Sub(s.pausedAt), maxResume)
	since := now.Sub(s.pausedUntil)
	if since >= ramp {
		return false
	}
	return s.own.Running >= max(1, int(float64(s.slots())*float64(since)/float64(ramp)))
}

// pausing refuses a request that could run only on servers which want nothing from
// this entry now, those that have had it included. It returns nil if there are
// others, or none that want a pause.
func (p *Picker) pausing(d *Request, now time.Time) *Refusal {
	if !now.Before(p.pausesUntil) {
		return nil
	}
	var earliest time.Time
	for _, listing := range p.directory.ByService(d.Service) {
		if listing.Draining || !holds(listing, d) {
			continue
		}
		s := p.state(listing)
		switch {
		case s.paused(now):
			if earliest.IsZero() || s.pausedUntil.Before(earliest) {
				earliest = s.pausedUntil
			}
		case !d.excludes(listing.Key()):
			return nil
		}
	}
	if earliest.IsZero() {
		return nil
	}
	wait := earliest.Sub(now)
	spread := max(scale(wait, pauseSpread), minPauseSpread)
	return &Refusal{Reason: Paused, RetryAfter: wait + time.Duration(p.rng.Int64N(int64(spread)))}
}

// leftOut names servers of a service that get no requests because they leave or
// want a pause.
func (p *Picker) leftOut(service string, now time.Time) []string {
	var out []string
	for _, listing := range p.directory.ByService(service) {
		if len(out) == maxLeftOut {
			break
		}
		if listing.Draining {
			out = append(out, listing.ID+": leaving")
		} else if s := p.servers[listing.Key()]; s != nil && s.paused(now) {
			out = append(out, fmt.Sprintf("%s: paused for %d ms", listing.ID, s.pausedUntil.Sub(now).Milliseconds()))
		}
	}
	return out
}
