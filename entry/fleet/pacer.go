package fleet

import (
	"maps"
	"time"

	"github.com/auburnbend/auburnbend/lib/pace"
	"github.com/auburnbend/auburnbend/lib/route"
)

const (
	// maxSeenGone bounds the remembered generations of agents that are not connected.
	maxSeenGone = 4096
	// typicalWeight is the weight of one response in the typical time of a pool.
	typicalWeight = 16
)

// pacer limits the concurrency of backend servers that have started under load or were
// ejected. It expects responses to begin within the typical time of the other servers of
// the pool. It is not safe for concurrent use.
type pacer struct {
	servers map[route.Key]*pacedServer
	pools   map[string]*poolHistory
	// seen holds the generations that have joined before, and whether they have left since.
	// gone counts those.
	seen map[route.Key]bool
	gone int
	// report is called when a limit begins, and after a duration when it ends.
	report func(key route.Key, cause pace.Cause, limited bool, duration time.Duration)
}

// pacedServer is a server whose concurrency is limited, or will be from its next request on.
type pacedServer struct {
	cause pace.Cause
	// since is when a server that has started joined, or had weights that it may serve.
	since time.Time
	// controller is nil before the first request.
	controller *pace.Controller
	// waiting counts the requests since then whose response has not begun.
	waiting int
}

type poolHistory struct {
	activity pace.Activity
	// typical is the smoothed time to the first frame; zero if there was none yet.
	typical time.Duration
}

// paceSample is one request from the pacer's view.
type paceSample struct {
	key             route.Key
	pool            *poolHistory
	server          *pacedServer
	placed          time.Time
	inFlight, slots int
	answered        bool
}

func newPacer(report func(route.Key, pace.Cause, bool, time.Duration)) *pacer {
	return &pacer{servers: make(map[route.Key]*pacedServer), pools: make(map[string]*poolHistory), seen: make(map[route.Key]bool), report: report}
}

// joined records a generation of an agent that has connected, and when it has started; zero
// if that is unknown. It is new if it has started recently, unless its pool has had no load
// for some seconds: then the deployment or this entry is starting.
func (p *pacer) joined(key route.Key, pool string, started, now time.Time) {
	gone, seen := p.seen[key]
	p.seen[key] = false
	if seen {
		if gone {
			p.gone--
		}
		return
	}
	if h := p.pools[pool]; h != nil && h.activity.Settled(now) && pace.StartedRecently(started, now) {
		p.servers[key] = &pacedServer{cause: pace.Started, since: now}
	}
}

// opened records that a server has its first weights.
func (p *pacer) opened(key route.Key, now time.Time) {
	if s := p.servers[key]; s != nil && s.controller == nil {
		s.since = now
	}
}

// ejected limits a server from its first request after the ejection on.
func (p *pacer) ejected(key route.Key, now time.Time) {
	p.lift(key, now)
	p.servers[key] = &pacedServer{cause: pace.Ejection}
}

// removed records that a generation has left.
func (p *pacer) removed(key route.Key, now time.Time) {
	p.lift(key, now)
	if gone, seen := p.seen[key]; !seen || gone {
		return
	}
	p.seen[key] = true
	if p.gone++; p.gone > maxSeenGone {
		maps.DeleteFunc(p.seen, func(_ route.Key, gone bool) bool { return gone })
		p.gone = 0
	}
}

// full reports whether a server must get no further request unless it is the only one. own
// counts the requests of this entry, total those that are known of all entries.
func (p *pacer) full(key route.Key, own, total, slots int, now time.Time) bool {
	s := p.servers[key]
	return s != nil && s.controller != nil && s.controller.Full(own, total, slots, now)
}

// placed records a request on a server.
func (p *pacer) placed(key route.Key, pool string, inFlight, slots int, now time.Time) *paceSample {
	h := p.pools[pool]
	if h == nil {
		h = &poolHistory{}
		p.pools[pool] = h
	}
	h.activity.Placed(now)
	sample := &paceSample{key: key, pool: h, placed: now, inFlight: inFlight, slots: slots}
	s := p.servers[key]
	if s == nil {
		return sample
	}
	if s.controller == nil {
		if s.cause == pace.Started && now.Sub(s.since) >= pace.StartValidity {
			delete(p.servers, key)
			return sample
		}
		ramp := pace.StartRamp
		if s.cause != pace.Started {
			ramp = pace.MaxRamp
		}
		s.controller = pace.New(s.cause, now, ramp)
		p.report(key, s.cause, true, 0)
	}
	sample.server = s
	s.waiting++
	s.controller.SetWaiting(true, now)
	return sample
}

// answered records the first frame of a response.
func (p *pacer) answered(r *paceSample, now time.Time) {
	if r.answered {
		return
	}
	p.endWait(r, now)
	took := now.Sub(r.placed)
	if r.server != nil {
		p.observe(r, pace.Judge(took, r.pool.typical, &pace.Usual{}), now)
		return
	}
	if r.pool.typical == 0 {
		r.pool.typical = took
	}
	r.pool.typical += (took - r.pool.typical) / typicalWeight
}

// finished records the end of a request.
func (p *pacer) finished(r *paceSample, failed bool, now time.Time) {
	verdict := pace.Unclear
	// A request that ends early without a response tells nothing.
	if failed || !r.answered && pace.Judge(now.Sub(r.placed), r.pool.typical, &pace.Usual{}) == pace.Late {
		verdict = pace.Late
	}
	p.endWait(r, now)
	p.observe(r, verdict, now)
}

func (p *pacer) endWait(r *paceSample, now time.Time) {
	if r.answered {
		return
	}
	r.answered = true
	if r.server != nil {
		r.server.waiting--
		r.server.controller.SetWaiting(r.server.waiting > 0, now)
	}
}

func (p *pacer) observe(r *paceSample, v pace.Verdict, now time.Time) {
	if r.server == nil || p.servers[r.key] != r.server {
		return
	}
	r.server.controller.Observe(v, r.placed, r.inFlight, r.slots, now)
	if r.server.controller.Ended(now) {
		p.lift(r.key, now)
	}
}

// refresh ends the limits that have ended by time, and reports whether others apply. It drops
// the history of pools that nobody uses any more.
func (p *pacer) refresh(now time.Time) (limited bool) {
	maps.DeleteFunc(p.pools, func(_ string, h *poolHistory) bool { return h.activity.Expired(now) })
	for key, s := range p.servers {
		switch {
		case s.controller == nil:
		case s.controller.Ended(now):
			p.lift(key, now)
		default:
			limited = true
		}
	}
	return limited
}

// limited returns the number of servers whose concurrency is limited.
func (p *pacer) limited(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if s.controller != nil && s.controller.Active(now) {
			n++
		}
	}
	return n
}

func (p *pacer) lift(key route.Key, now time.Time) {
	s := p.servers[key]
	delete(p.servers, key)
	if s != nil && s.controller != nil {
		p.report(key, s.cause, false, s.controller.Duration(now))
	}
}
