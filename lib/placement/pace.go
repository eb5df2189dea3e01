package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/pace"
)

const (
	// paceInterval is the minimum time between two searches for limits that have begun or
	// ended by time.
	paceInterval = 100 * time.Millisecond
	// maxBeyondWindow is the ratio to its window up to which a server gets requests that
	// would be refused otherwise. Without such requests, servers that are added while the
	// others are full would leave refused what they can run; without a bound, they would be
	// flooded.
	maxBeyondWindow = 2
	// maxSeenUnlisted bounds the incarnations that are remembered after they have left.
	maxSeenUnlisted = 4096
)

// serviceHistory is what is known of the requests of one service.
type serviceHistory struct {
	activity pace.Activity
	usual    pace.Usual
}

func (p *Picker) history(service string) *serviceHistory {
	h := p.histories[service]
	if h == nil {
		h = &serviceHistory{}
		p.histories[service] = h
	}
	return h
}

// ObserveStarts notices servers that have started under load. It must be called after each
// change of the directory. Servers that are listed before their service has been under load
// for a while are not new: the deployment, or this entry, is starting. Neither are those
// that have run for longer, whose rows are read late.
func (p *Picker) ObserveStarts(now time.Time) {
	p.directory.ForEach(func(listing *directory.Server) {
		key := listing.Key()
		if p.seen[key] {
			return
		}
		p.seen[key] = true
		h := p.histories[listing.Service]
		if h != nil && h.activity.Settled(now) && pace.StartedRecently(startTime(listing), now) {
			p.state(listing).startedAt = now
		}
	})
	if len(p.seen) > p.directory.Len()+maxSeenUnlisted {
		clear(p.seen)
		p.directory.ForEach(func(listing *directory.Server) { p.seen[listing.Key()] = true })
	}
}

// startTime returns when a server has started; zero if it does not say.
func startTime(s *directory.Server) time.Time {
	if s.StartUnixMilli == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.StartUnixMilli)
}

// beginStart begins the limit of a server that has started under load, with its first
// request.
func (p *Picker) beginStart(s *server, now time.Time) {
	if s.startedAt.IsZero() {
		return
	}
	if since := later(s.startedAt, s.openedAt); now.Sub(since) < pace.StartValidity {
		p.limitPace(s, pace.Started, now, pace.StartRamp, now)
	}
	s.startedAt = time.Time{}
}

// limitPace limits the concurrency of a server from a time on.
func (p *Picker) limitPace(s *server, cause pace.Cause, from time.Time, ramp time.Duration, now time.Time) {
	l := s.limits.of(cause)
	p.liftLimit(s, l, now)
	l.controller = pace.New(cause, from, ramp)
	p.paced[s] = true
}

// liftLimit ends one limit of a server's concurrency.
func (p *Picker) liftLimit(s *server, l *concurrencyLimit, now time.Time) {
	if l.controller == nil {
		return
	}
	p.reportPace(s, l, false, l.controller.Duration(now))
	*l = concurrencyLimit{}
	if !s.limits.exist() {
		s.limits.slowness = pace.Slowness{}
		delete(p.paced, s)
	}
}

// reportPace calls OnPace when a limit begins, and when one that was reported ends.
func (p *Picker) reportPace(s *server, l *concurrencyLimit, limited bool, duration time.Duration) {
	if l.reported == limited {
		return
	}
	l.reported = limited
	if p.config.OnPace != nil && s.listing != nil {
		p.config.OnPace(s.listing, l.controller.Cause(), limited, duration)
	}
}

// refreshPace notices limits that have begun or ended by time.
func (p *Picker) refreshPace(now time.Time) {
	if len(p.paced) == 0 && len(p.pacedServices) == 0 || now.Sub(p.paceRefreshedAt) < paceInterval {
		return
	}
	p.paceRefreshedAt = now
	clear(p.pacedServices)
	for s := range p.paced {
		if s.listing != nil {
			p.pacedServices[s.listing.Service] = true
		}
		s.limits.each(func(l *concurrencyLimit) {
			switch {
			case l.controller.Ended(now):
				p.liftLimit(s, l, now)
			case l.controller.Active(now):
				p.reportPace(s, l, true, 0)
			}
		})
	}
}

// firstEventWanted reports whether the first event of a request must be known. Other entries
// send a notice of it, which is needed only while the server is limited, or another one of
// its service, which is compared with those that are not. The requests of this entry take no
// notice.
func (p *Picker) firstEventWanted(s *server, req *Request) bool {
	return req.Entry == "" || s.limits.exist() || p.pacedServices[req.Service]
}

// ConcurrencyLimited returns the number of servers of each service whose concurrency is
// limited because they have just started or recovered.
func (p *Picker) ConcurrencyLimited(now time.Time) map[string]int {
	limited := make(map[string]int)
	for s := range p.paced {
		if s.listing != nil && s.limits.active(now) {
			limited[s.listing.Service]++
		}
	}
	return limited
}

// windowFull reports whether a server that has just started or recovered has as many
// requests as it may have. own is set for requests of this entry: the limit after a pause
// applies only to those.
func (s *server) windowFull(own bool, slots int, now time.Time) bool {
	return s.limits.exist() && s.limits.full(own, s.usage.Running, s.occupancy(now), slots, now)
}

// slotsFor is the number of requests that the server runs concurrently, as the service
// declares it if it does.
func (s *server) slotsFor(req *Request) int {
	if req.Engine != nil && req.Engine.Slots > 0 {
		return req.Engine.Slots
	}
	return s.slots()
}

// judge records what the first event of a response tells about the server.
func (p *Picker) judge(l *Lease, now time.Time) {
	took, predicted := now.Sub(l.started), l.Predicted-l.distance
	if !l.state.limits.exist() {
		l.history.usual.Observe(took, predicted)
		return
	}
	l.state.limits.slowness.Observe(took, predicted)
	p.observePace(l, pace.Judge(took, predicted, &l.history.usual), now)
}

// judgeWait records that a request has ended without a response.
func (p *Picker) judgeWait(l *Lease, now time.Time) {
	if v := pace.Judge(now.Sub(l.started), l.Predicted-l.distance, &l.history.usual); v == pace.Late {
		p.observePace(l, v, now)
	}
}

func (p *Picker) observePace(l *Lease, v pace.Verdict, now time.Time) {
	s := l.state
	s.limits.each(func(limit *concurrencyLimit) {
		limit.controller.Observe(v, l.started, l.Occupancy+1, l.slots, now)
		if limit.controller.Ended(now) {
			p.liftLimit(s, limit, now)
		}
	})
}

// pickBeyondWindow returns the server of this region that responds within the latency target
// although its window is full; one without a server if there is none. It is for requests that would be refused
// because all servers with room are too slow. Responses must have shown that it is fast
// enough, even if slower than predicted; before, it may have a few requests more.
func (p *Picker) pickBeyondWindow(req *Request, held []string, now time.Time) candidate {
	var best candidate
	usual := p.usualResponse(req.Service)
	for s := range p.paced {
		if s.listing == nil || s.listing.Service != req.Service || !p.isLocal(s) || p.directory.Get(s.listing.Key()) != s.listing {
			continue
		}
		if !s.windowFull(req.Entry == "", s.slotsFor(req), now) {
			continue
		}
		if excluded, _ := p.exclusion(s.listing, req, now); excluded || req.excludes(s.listing.Key()) {
			continue
		}
		if p.usability(s, req, held, now) != usableIfNoOther {
			continue
		}
		c := p.newCandidate(req, s, usual, now)
		if s.mayMissVersionDeadline(req, c.estimate, now) || !p.fastEnough(s, req, c.estimate, now) {
			continue
		}
		if best.server == nil || c.compare(&best) < 0 {
			best = c
		}
	}
	return best
}

// fastEnough reports whether a server with a full window is expected to respond to a request
// within its latency target.
func (p *Picker) fastEnough(s *server, req *Request, e estimate, now time.Time) bool {
	if p.checkLatency(req, s, e, now) != nil {
		return false
	}
	if ratio, known := s.limits.slowness.Ratio(); known && scale(e.firstResponse, ratio) <= p.latencyLimit(req) {
		return true
	}
	return s.occupancy(now) < maxBeyondWindow*s.limits.window(req.Entry == "", s.slotsFor(req), now)
}
