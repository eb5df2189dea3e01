package placement

import (
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Picker places requests on backend servers.
type Picker struct {
	config    Config
	directory *directory.Directory
	servers   map[directory.Key]*server
	rng       *rand.Rand
	// pausesUntil is when the last pause ends that a server has asked for.
	pausesUntil time.Time
}

// New returns a Picker over the servers of a directory, which it reads only.
func New(config Config, d *directory.Directory, rng *rand.Rand) *Picker {
	return &Picker{config: config.applyDefaults(), directory: d, servers: make(map[directory.Key]*server), rng: rng}
}

// Pick places a request. It returns a lease, or the reason of a refusal.
func (p *Picker) Pick(d Request, now time.Time) (*Lease, *Refusal) {
	best, estimate, refusal := p.best(&d, now)
	if refusal == nil {
		refusal = p.tooLate(&d, best, estimate, now)
	}
	if refusal != nil {
		refusal.ExcludedServers = p.leftOut(d.Service, now)
		return nil, refusal
	}
	occupancy, age := best.occupancy(now), best.loadAge(now)
	l := p.lease(best, &d, now)
	l.Predicted = estimate.first + p.distance(d.Domain, best.seen.Domain)
	l.Occupancy, l.LoadAge = occupancy, age
	return l, nil
}

// Adopt returns the lease of a request that another entry has placed on a listed
// server.
func (p *Picker) Adopt(listing *directory.Server, d *Request, now time.Time) *Lease {
	return p.lease(p.state(listing), d, now)
}

func (p *Picker) lease(s *server, d *Request, now time.Time) *Lease {
	s.change(1, 1, d.PromptTokens, now)
	s.lastStart = now
	return &Lease{Server: s.seen, Usage: s.own, state: s, holder: d.Entry, prompt: d.PromptTokens, started: now}
}

// candidate is a server that may take a request.
type candidate struct {
	*server
	estimate
	// score is the predicted time to the first answer, with the way there.
	score time.Duration
}

// best returns the server with the earliest predicted first answer.
func (p *Picker) best(d *Request, now time.Time) (*server, estimate, *Refusal) {
	p.directory.Expire(now)
	usable, reason := p.usable(d)
	open := p.open(usable, d, now)
	if len(open) == 0 {
		if d.Entry == "" {
			if refusal := p.pausing(d, now); refusal != nil {
				return nil, estimate{}, refusal
			}
		}
		return nil, estimate{}, absent(d, reason)
	}
	reason = Overloaded
	var best *candidate
	for _, s := range p.sample(open, now) {
		e := s.predict(d, now)
		if s.expires(d, e, now) {
			reason = NoWeights
			continue
		}
		c := &candidate{server: s, estimate: e, score: e.first + p.distance(d.Domain, s.seen.Domain)}
		if best == nil || c.score < best.score || c.score == best.score && s.own.Running < best.own.Running {
			best = c
		}
	}
	if best == nil {
		return nil, estimate{}, absent(d, reason)
	}
	return best.server, best.estimate, nil
}

// expires reports whether a request may still wait on the server when its
// weights must no longer serve.
func (s *server) expires(d *Request, e estimate, now time.Time) bool {
	if d.NextVersion == 0 || s.seen.Weights[d.Model].Version >= d.NextVersion {
		return false
	}
	return now.Add(2*e.wait + expiryMargin).After(d.NextVersionAt)
}

// usable returns the servers that may run the request at all, and the reason if
// there are none.
func (p *Picker) usable(d *Request) ([]*server, Reason) {
	reason := NoServer
	var usable []*server
	for _, listing := range p.directory.ByService(d.Service) {
		switch {
		case listing.Draining || d.excludes(listing.Key()):
		case !holds(listing, d):
			reason = NoWeights
		default:
			usable = append(usable, p.state(listing))
		}
	}
	return usable, reason
}

// open leaves out the servers that take no requests now, and ejected ones
// unless too many are ejected to be believed. A pause is between a server and one
// entry: another entry names the servers that it must not use.
func (p *Picker) open(usable []*server, d *Request, now time.Time) []*server {
	own := d.Entry == ""
	var open, resuming, ejected []*server
	for _, s := range usable {
		switch {
		case s.closed(now) || own && s.paused(now):
		case s.ejected(now):
			ejected = append(ejected, s)
		case own && s.resuming(now):
			resuming = append(resuming, s)
		default:
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		open = resuming
	}
	if len(open) == 0 && float64(len(ejected)) > p.config.MaxEjectedShare*float64(len(usable)) {
		return ejected
	}
	return open
}

// sample returns all servers of the own region and some of the others. What is
// known of distant servers is older, and all entries would choose the same one.
// Distant servers that report to this entry go first: of the others it knows only
// what it has sent there.
func (p *Picker) sample(open []*server, now time.Time) []*server {
	var near, reported, silent []*server
	for _, s := range open {
		switch {
		case p.config.Regions[s.seen.Domain] == p.config.Regions[p.config.Domain]:
			near = append(near, s)
		case s.reserved(now):
		case s.reports(now):
			reported = append(reported, s)
		default:
			silent = append(silent, s)
		}
	}
	far := reported
	if len(far) == 0 {
		far = silent
	}
	if len(far) > distantChoices {
		p.rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		far = far[:distantChoices]
	}
	return append(near, far...)
}

// holds reports whether a server has the weights that the request needs.
func holds(s *directory.Server, d *Request) bool {
	if d.Engine == nil || d.Model == "" {
		return true
	}
	w, ok := s.Weights[d.Model]
	if !ok || !w.Complete || w.Version < d.MinVersion {
		return false
	}
	return d.Version == 0 || w.Version == d.Version
}

// tooLate refuses a request whose first answer is predicted after its target.
// The request's own prompt does not count, so that long prompts are refused no
// more often than short ones.
func (p *Picker) tooLate(d *Request, s *server, e estimate, now time.Time) *Refusal {
	if d.LatencyTarget <= 0 || d.MayHaveRun {
		return nil
	}
	if 2*s.occupancy(now) < s.slots() {
		// A wait at a server that is half empty cannot be long.
		return nil
	}
	usual := e.first - e.wait
	if d.Engine != nil {
		usual = prefillTime(d.Engine, d.Engine.UsualPrompt, 1) + passTime(d.Engine, s.slots())
	}
	limit := scale(d.LatencyTarget, p.config.TargetShare)
	predicted := e.wait + usual
	if predicted <= limit {
		return nil
	}
	after := min(max(predicted-limit, minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: Overloaded, RetryAfter: after, Predicted: predicted}
}

// distance is the delay by which a server in another domain than the caller's is
// less preferred.
func (p *Picker) distance(from, to string) time.Duration {
	if from == "" {
		from = p.config.Domain
	}
	switch {
	case to == from:
		return 0
	case p.config.Regions[to] == p.config.Regions[from]:
		return p.config.DomainDelay
	default:
		return p.config.RegionDelay
	}
}

// state returns what is known of a listed server.
func (p *Picker) state(listing *directory.Server) *server {
	s := p.server(listing.Key())
	if s.seen != listing {
		s.corrected()
	}
	s.seen = listing
	return s
}

// server returns the state of one start of a server.
func (p *Picker) server(key directory.Key) *server {
	s := p.servers[key]
	if s == nil {
		s = &server{}
		p.servers[key] = s
	}
	return s
}
