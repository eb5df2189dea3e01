package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// Picker places requests on backend servers.
type Picker struct {
	config    Config
	directory *directory.Directory
	servers   map[directory.Key]*server
}

// New returns a Picker over the servers of a directory, which it reads only.
func New(config Config, d *directory.Directory) *Picker {
	return &Picker{config: config.applyDefaults(), directory: d, servers: make(map[directory.Key]*server)}
}

// Pick places a request. It returns a lease, or the reason of a refusal.
func (p *Picker) Pick(d Demand, now time.Time) (*Lease, *Refusal) {
	best, estimate, refusal := p.best(&d, now)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := p.tooLate(&d, best, estimate, now); refusal != nil {
		return nil, refusal
	}
	best.own++
	best.sinceReport++
	best.reading++
	best.readingTokens += d.PromptTokens
	return &Lease{
		Server: best.seen, Predicted: estimate.first + p.distance(best.seen.Domain),
		state: best, prompt: d.PromptTokens, started: now,
	}, nil
}

// best returns the server with the earliest predicted first answer.
func (p *Picker) best(d *Demand, now time.Time) (*server, estimate, *Refusal) {
	p.directory.Expire(now)
	listed := p.directory.Service(d.Service)
	reason := NoServer
	var best *server
	var bestEstimate estimate
	var bestScore time.Duration
	ejected, usable := 0, 0
	for pass := 0; pass < 2 && best == nil; pass++ {
		ejected, usable = 0, 0
		for _, listing := range listed {
			if listing.Draining || d.excludes(listing.Key()) {
				continue
			}
			if !holds(listing, d) {
				reason = NoWeights
				continue
			}
			usable++
			s := p.state(listing)
			if s.ejected(now) {
				ejected++
				// Ejected servers are used only if no other is left, and then only
				// where ejection may have gone too far.
				if pass == 0 {
					continue
				}
			}
			if s.closed(now) {
				continue
			}
			e := s.predict(d, now)
			score := e.first + p.distance(listing.Domain)
			if best == nil || score < bestScore || score == bestScore && s.own < best.own {
				best, bestEstimate, bestScore = s, e, score
			}
		}
		if float64(ejected) <= p.config.MaxEjectedShare*float64(usable) {
			break
		}
	}
	if best == nil {
		return nil, estimate{}, &Refusal{Reason: reason, After: absentRetryAfter}
	}
	return best, bestEstimate, nil
}

// holds reports whether a server has the weights that the request needs.
func holds(s *directory.Server, d *Demand) bool {
	if d.Engine == nil || d.Model == "" {
		return true
	}
	w, ok := s.Weights[d.Model]
	if !ok || !w.Whole || w.Version < d.MinVersion {
		return false
	}
	return d.Version == 0 || w.Version == d.Version
}

// tooLate refuses a request whose first answer is predicted after its target.
// The request's own prompt does not count, so that long prompts are refused no
// more often than short ones.
func (p *Picker) tooLate(d *Demand, s *server, e estimate, now time.Time) *Refusal {
	if d.Target <= 0 || d.Continued {
		return nil
	}
	slots := s.slots()
	if s.occupancy(now) < slots {
		return nil
	}
	usual := e.first - e.wait
	if d.Engine != nil {
		usual = prefillTime(d.Engine, d.Engine.UsualPrompt, 1) + passTime(d.Engine, slots)
	}
	limit := scale(d.Target, p.config.TargetShare)
	predicted := e.wait + usual
	if predicted <= limit {
		return nil
	}
	after := min(max(predicted-limit, minRetryAfter), maxRetryAfter)
	return &Refusal{Reason: Overloaded, After: after, Predicted: predicted}
}

// distance is the delay by which a server in another domain is less preferred.
func (p *Picker) distance(domain string) time.Duration {
	switch {
	case domain == p.config.Domain:
		return 0
	case p.config.Regions[domain] == p.config.Regions[p.config.Domain]:
		return p.config.DomainDelay
	default:
		return p.config.RegionDelay
	}
}

// state returns what is known of a listed server.
func (p *Picker) state(listing *directory.Server) *server {
	s := p.servers[listing.Key()]
	if s == nil {
		s = &server{}
		p.servers[listing.Key()] = s
	}
	s.seen = listing
	return s
}

// Answering takes note that the first answer of a request has arrived.
func (p *Picker) Answering(l *Lease, now time.Time) {
	if l.answering || l.done {
		return
	}
	l.answering = true
	l.state.reading--
	l.state.readingTokens -= l.prompt
}

// Done ends a lease.
func (p *Picker) Done(l *Lease, result Result, now time.Time) {
	if l.done {
		return
	}
	p.Answering(l, now)
	l.done = true
	s := l.state
	s.own--
	s.sinceReport--
	switch result {
	case Answered:
		s.failures, s.ejections = 0, 0
		s.smoothAnswer(now.Sub(l.started))
	case Unreachable:
		p.eject(s, now)
	case Failed:
		s.failures++
		if s.failures >= p.config.EjectAfter {
			p.eject(s, now)
		}
	case Cancelled, Rejected:
	}
}

func (s *server) smoothAnswer(took time.Duration) {
	if s.answerTime == 0 {
		s.answerTime = took
		return
	}
	s.answerTime += (took - s.answerTime) / 8
}

// eject keeps requests away for a while that doubles with each time.
func (p *Picker) eject(s *server, now time.Time) {
	if s.ejected(now) {
		return
	}
	while := min(p.config.MinEject<<min(s.ejections, 10), p.config.MaxEject)
	s.ejections++
	s.ejectedUntil = now.Add(while)
}

// Report takes a server's own word on its load.
func (p *Picker) Report(key directory.Key, load Load, now time.Time) {
	s := p.servers[key]
	if s == nil {
		s = &server{}
		p.servers[key] = s
	}
	if load.Pace == 0 {
		load.Pace = s.load.Pace
	}
	s.load, s.loadAt, s.sinceReport = load, now, 0
}

// Forget drops the state of servers that are no longer listed and idle.
func (p *Picker) Forget() {
	listed := make(map[directory.Key]bool, p.directory.Len())
	p.directory.All(func(s *directory.Server) { listed[s.Key()] = true })
	for key, s := range p.servers {
		if !listed[key] && s.own == 0 {
			delete(p.servers, key)
		}
	}
}
