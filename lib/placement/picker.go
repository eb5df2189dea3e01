package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/directory"
)

// Picker places the requests of an entry on backend servers. It is not safe for
// concurrent use.
type Picker struct {
	config    Config
	directory *directory.Directory
	servers   map[directory.Key]*server
	rng       *rand.Rand
	// pausesUntil is the end of the last pause that any server has asked for.
	pausesUntil time.Time
	// limitShare is the share of rate limits set by SetLimitShare.
	limitShare float64
	// evacuations holds failure domains by name.
	evacuations map[string]evacuation
	regionCount int
	// indexes holds the servers of services for the generation of the directory and the
	// number of first reports given.
	indexes                            map[string]*serviceIndex
	indexGeneration, indexFirstReports uint64
	// firstReports counts the first reports of servers.
	firstReports uint64
	// ejectionsUntil is the end of the last ejection of any server.
	ejectionsUntil time.Time
	// rateLimited holds the servers that have a rate limit.
	rateLimited map[directory.Key]bool
	// histories holds what is known of the requests of services.
	histories map[string]*serviceHistory
	// seen holds the incarnations that were listed before.
	seen map[directory.Key]bool
	// paced holds the servers whose concurrency is limited, or will be after a pause, an
	// ejection or a cold period. It was last searched at paceRefreshedAt.
	paced           map[*server]bool
	paceRefreshedAt time.Time
	// pacedServices holds the services of these servers at the last search.
	pacedServices map[string]bool
	// serviceTimes holds the mean response times of services.
	serviceTimes map[string]meanTime
	// gates holds the gates of services with ranked requests.
	gates map[string]*admit.Gate
}

// New returns a Picker for the servers of a directory. The Picker drops expired
// servers from the directory, and does not change it otherwise.
func New(config Config, d *directory.Directory, rng *rand.Rand) *Picker {
	return &Picker{
		config: config.applyDefaults(), directory: d, servers: make(map[directory.Key]*server), rng: rng,
		limitShare: 1, evacuations: make(map[string]evacuation), regionCount: countRegions(config.Regions),
		indexes: make(map[string]*serviceIndex), rateLimited: make(map[directory.Key]bool),
		histories: make(map[string]*serviceHistory), seen: make(map[directory.Key]bool), paced: make(map[*server]bool), pacedServices: make(map[string]bool),
		serviceTimes: make(map[string]meanTime), gates: make(map[string]*admit.Gate),
	}
}

// Pick places a request. It returns either a lease or a refusal.
func (p *Picker) Pick(req Request, now time.Time) (*Lease, *Refusal) {
	set, refusal := p.candidateSet(&req, now)
	if refusal == nil {
		var chosen candidate
		if chosen, refusal = p.choose(&req, set, now); chosen.server != nil {
			refusal = p.admit(&req, &chosen, refusal, now)
		}
		if refusal == nil {
			return p.grant(&chosen, &req, now), nil
		}
	}
	refusal.ExcludedServers = p.ExcludedServers(req.Service, now)
	return nil, refusal
}

// choose returns the server that the request would be placed on, and a refusal if that is not
// expected to respond in time or there is none.
func (p *Picker) choose(req *Request, set *candidateSet, now time.Time) (candidate, *Refusal) {
	best, refusal := p.best(req, set, now)
	if refusal == nil {
		refusal = p.checkLatency(req, best.server, best.estimate, now)
	}
	if refusal == nil {
		return best, nil
	}
	if spare, found := p.spare(req, set, refusal, now); found {
		return spare, nil
	}
	if beyond := p.pickBeyondWindow(req, set.held, now); beyond.server != nil {
		return beyond, nil
	}
	return best, refusal
}

// grant places a request on the chosen server.
func (p *Picker) grant(best *candidate, req *Request, now time.Time) *Lease {
	occupancy, age := best.occupancy(now), best.reportAge(now)
	l := p.newLease(best.server, req, now)
	l.LimitChecked = best.effectiveLimit(req, now).PerSecond > 0
	l.Predicted = best.score - best.estimate.overdue
	l.Occupancy, l.LoadAge = occupancy, age
	return l
}

// Adopt returns a lease for a request that another entry has placed on a listed
// server.
func (p *Picker) Adopt(listing *directory.Server, req *Request, now time.Time) *Lease {
	return p.newLease(p.state(listing), req, now)
}

func (p *Picker) newLease(s *server, req *Request, now time.Time) *Lease {
	history := p.history(req.Service)
	history.activity.Placed(now)
	p.beginStart(s, now)
	s.addUsage(1, 1, req.PromptTokens, now)
	wanted := p.firstEventWanted(s, req)
	if wanted {
		s.addAwaiting(1, now)
	}
	s.recordPlacement(now)
	if req.Engine == nil {
		s.unanswered = append(s.unanswered, now)
	}
	return &Lease{
		Server: s.listing, Usage: s.usage, state: s, entry: req.Entry, promptTokens: req.PromptTokens, started: now,
		history: history, distance: p.distancePenalty(req.Domain, s.listing.Domain), slots: s.slotsFor(req), engine: req.Engine != nil,
		FirstEventWanted: wanted,
	}
}

// best returns the candidate with the lowest score among those that are compared, or a
// refusal.
func (p *Picker) best(req *Request, set *candidateSet, now time.Time) (candidate, *Refusal) {
	reason := Overloaded
	usual := p.usualResponse(req.Service)
	var best candidate
	for _, s := range set.compared {
		c := p.newCandidate(req, s, usual, now)
		if s.mayMissVersionDeadline(req, c.estimate, now) {
			reason = NoWeights
			continue
		}
		if best.server == nil || c.compare(&best) < 0 {
			best = c
		}
	}
	if best.server == nil {
		return candidate{}, p.unavailable(req, reason, now)
	}
	return best, nil
}

func (p *Picker) newCandidate(req *Request, s *server, usual time.Duration, now time.Time) candidate {
	e := s.predict(req, usual, now)
	return candidate{server: s, estimate: e, score: e.firstResponse + e.overdue + p.distancePenalty(req.Domain, s.listing.Domain)}
}

// candidateSet returns the candidates for a request, or a refusal if no server is available.
func (p *Picker) candidateSet(req *Request, now time.Time) (*candidateSet, *Refusal) {
	p.directory.Expire(now)
	p.refreshPace(now)
	held := p.heldBack(now)
	set, ok := p.nearCandidates(req, held, now)
	if !ok {
		var refusal *Refusal
		if set, refusal = p.allCandidates(req, held, now); refusal != nil {
			return nil, refusal
		}
	}
	set.held = held
	return set, nil
}

// allCandidates returns the candidates among all servers of the service, or a refusal if
// none is available.
func (p *Picker) allCandidates(req *Request, held []string, now time.Time) (*candidateSet, *Refusal) {
	eligible, reason := p.eligible(req, now)
	available := p.available(eligible, req, held, now)
	if len(available) > 0 {
		return p.candidates(req, eligible, available, p.isLocalBarred(req, held), now), nil
	}
	if req.Entry == "" {
		if refusal := p.pauseRefusal(req, now); refusal != nil {
			return nil, refusal
		}
	}
	if refusal := p.limitRefusal(req, now); refusal != nil {
		return nil, refusal
	}
	return nil, p.unavailable(req, reason, now)
}

// mayMissVersionDeadline reports whether the request might still wait on the server
// when the server's weights must no longer serve.
func (s *server) mayMissVersionDeadline(req *Request, e estimate, now time.Time) bool {
	deadline := req.VersionDeadlines.Of(s.listing.Weights[req.Model].Version)
	if deadline.IsZero() {
		return false
	}
	wait := e.wait
	if s.hasReport(now) {
		wait += s.load.LinkDelay
	}
	return now.Add(2*wait + versionMargin).After(deadline)
}

// eligible returns the servers that may run the request, or the reason why there are
// none.
func (p *Picker) eligible(req *Request, now time.Time) ([]*server, Reason) {
	reason := NoServer
	var eligible []*server
	for _, s := range p.index(req.Service).all {
		excluded, cause := p.exclusion(s.listing, req, now)
		switch {
		case req.excludes(s.listing.Key()):
		case !excluded:
			eligible = append(eligible, s)
		case reasonRank[cause] > reasonRank[reason]:
			reason = cause
		}
	}
	return eligible, reason
}

// exclusion reports whether a server must not run the request, whatever its load, and
// why.
func (p *Picker) exclusion(listing *directory.Server, req *Request, now time.Time) (bool, Reason) {
	switch {
	case listing.Draining:
		return true, NoServer
	case !p.IsHome(listing, req):
		return true, NoHome
	case p.Evacuated(listing.Domain) || slices.Contains(req.Evacuated, listing.Domain):
		return true, DomainEvacuated
	case !hasWeights(listing, req) || expiresSoon(listing, req, now):
		return true, NoWeights
	default:
		return false, ""
	}
}

// isLocal reports whether a server is in the region of this entry.
func (p *Picker) isLocal(s *server) bool {
	return p.config.Regions[s.listing.Domain] == p.config.Regions[p.config.Domain]
}

// hasWeights reports whether a server has loaded the weights that the request needs.
func hasWeights(s *directory.Server, req *Request) bool {
	if req.Engine == nil || req.Model == "" {
		return true
	}
	w, ok := s.Weights[req.Model]
	if !ok || !w.Complete || w.Version < req.MinVersion {
		return false
	}
	return req.Version == 0 || w.Version == req.Version
}

// expiresSoon reports whether a request would miss the deadline of a server's weights
// however short its wait is. Such a server must not take the place of another one in the
// random choice of remote servers.
func expiresSoon(s *directory.Server, req *Request, now time.Time) bool {
	deadline := req.VersionDeadlines.Of(s.Weights[req.Model].Version)
	return !deadline.IsZero() && now.Add(versionMargin).After(deadline)
}

// distancePenalty is added to the predicted time of a server in another failure
// domain than the entry's.
func (p *Picker) distancePenalty(from, to string) time.Duration {
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

// state returns the state of a listed server and updates its listing.
func (p *Picker) state(listing *directory.Server) *server {
	s := p.server(listing.Key())
	if s.listing != listing {
		s.clearMismatch()
	}
	s.listing = listing
	return s
}

// server returns the state of one incarnation of a server.
func (p *Picker) server(key directory.Key) *server {
	s := p.servers[key]
	if s == nil {
		s = &server{}
		p.servers[key] = s
	}
	return s
}
