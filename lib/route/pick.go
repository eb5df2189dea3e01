package route

import (
	"math"
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// candidate is an instance considered by Pick.
type candidate struct {
	slot         *slot
	utilization  float64 // share of the capacity, reduced during a slow start, in use with this request
	requestShare float64 // part of utilization that this request adds
	score        float64
	local        bool
	free         bool
}

// Pick returns the instance for a request, or a *Refusal. It changes no state
// that later picks depend on except the random source; callers confirm the
// choice with Started.
func (p *Picker) Pick(now time.Time, r *Request) (Choice, error) {
	at := p.instant(now)
	matching := p.collectCandidates(at, r)
	if len(p.candidates) == 0 {
		if matching {
			return Choice{}, &Refusal{Reason: outcome.ReasonOverloaded, RetryAfter: max(p.cfg.RetryAfter, p.rateLimitWait), NoCandidate: true}
		}
		return Choice{}, &Refusal{Reason: outcome.ReasonNoBackendServer, RetryAfter: p.cfg.RetryAfter, NoCandidate: true}
	}
	p.filterByDomain(at)
	p.score(now, r)
	if wait := p.filterByCapacity(now, r); wait || len(p.candidates) == 0 {
		return Choice{}, &Refusal{Reason: outcome.ReasonOverloaded, RetryAfter: p.cfg.RetryAfter, Deferred: wait}
	}
	c := p.chooseOfTwo()
	return Choice{Key: c.slot.Key(), Spilled: !c.local, CachedBlocks: p.prefix.depth(c.slot.index)}, nil
}

// collectCandidates collects the candidates in p.candidates. It reports whether
// any instance serves the request at all, even if it is excluded now. Instances
// without a fresh report are kept only if there are no others.
func (p *Picker) collectCandidates(now instant, r *Request) (matching bool) {
	p.candidates, p.rateLimitWait = p.candidates[:0], 0
	fresh := 0
	pool := p.poolIDs.id(r.Pool)
	var weights uint32
	if !r.Weights.IsZero() {
		weights = p.weightIDs.id(r.Weights)
	}
	for _, s := range p.slots {
		if s == nil || s.poolID != pool || s.Draining || !s.Role.serves(r.Role) || !s.hasWeights(weights) {
			continue
		}
		matching = true
		if s.outlier.ejected(now) || (r.Allowed != nil && !r.Allowed(s.Key())) {
			continue
		}
		if wait := s.rateLimitWait(now); wait > 0 {
			if p.rateLimitWait == 0 || wait < p.rateLimitWait {
				p.rateLimitWait = wait
			}
			continue
		}
		requests, share := s.usage(now, &p.cfg)
		c := candidate{
			slot:         s,
			utilization:  (requests + 1) * share,
			requestShare: share,
			local:        s.Location.FailureDomain == p.cfg.Domain,
			free:         r.HasCapacity == nil || r.HasCapacity(s.Key()),
		}
		p.candidates = append(p.candidates, c)
		if now.sub(s.reportedAt) <= p.cfg.MaxReportAge {
			// Keep the fresh candidates in front.
			if last := len(p.candidates) - 1; fresh != last {
				p.candidates[fresh], p.candidates[last] = p.candidates[last], p.candidates[fresh]
			}
			fresh++
		}
	}
	if fresh > 0 {
		p.candidates = p.candidates[:fresh]
	}
	return matching
}

// filterByCapacity removes full candidates. It reports whether the request
// should wait for a better instance that is full, as in delay scheduling
// (Zaharia et al., 2010).
func (p *Picker) filterByCapacity(now time.Time, r *Request) (wait bool) {
	best, bestFree := math.Inf(1), math.Inf(1)
	all := len(p.candidates)
	kept := p.candidates[:0]
	for _, c := range p.candidates {
		best = min(best, c.score)
		if c.free {
			bestFree = min(bestFree, c.score)
			kept = append(kept, c)
		}
	}
	p.candidates = kept
	if len(kept) == 0 {
		return false
	}
	mayWait := now.Sub(r.OfferedAt) < p.cfg.MaxWait
	few := float64(len(kept)) < p.cfg.MinFreeShare*float64(all)
	return mayWait && few && bestFree-best >= p.cfg.MinWaitGain
}

// filterByDomain removes candidates in other failure domains unless all local
// ones are full or loaded above the threshold, or there are none.
func (p *Picker) filterByDomain(at instant) {
	locals := 0
	for i := range p.candidates {
		if p.candidates[i].local {
			locals++
		}
	}
	if locals == 0 || locals == len(p.candidates) {
		return
	}
	best := math.Inf(1)
	for i := range p.candidates {
		if c := &p.candidates[i]; c.local && c.free {
			// The reduced share of a slow start does not count as missing capacity.
			best = min(best, c.utilization*c.slot.slowStartFactor(at, &p.cfg))
		}
	}
	if best > p.cfg.SpillThreshold {
		return
	}
	kept := p.candidates[:0]
	for _, c := range p.candidates {
		if c.local {
			kept = append(kept, c)
		}
	}
	p.candidates = kept
}

// score computes the scores of the candidates; lower is better. The unit is the
// share of the capacity that would be in use with the request.
func (p *Picker) score(now time.Time, r *Request) {
	p.prefix.match(now, r.Prefix)
	preferred := p.affinityChoice(r)
	for i := range p.candidates {
		c := &p.candidates[i]
		c.score = c.utilization
		if !c.local {
			delay := p.cfg.DomainDelay
			if c.slot.Location.Region != p.cfg.Region {
				delay = p.cfg.RegionDelay
			}
			c.score += float64(delay) / float64(p.cfg.FullLoadDelay)
		}
		if cached := p.prefix.depth(c.slot.index); cached > 0 {
			c.score -= p.cfg.CacheBonus * float64(cached) / float64(len(r.Prefix))
		}
		if c.slot == preferred {
			c.score -= p.cfg.AffinityBonus
		}
	}
}

// affinityChoice returns the rendezvous choice for the request's prefix among
// the candidates whose load is within the bound, so that a popular prefix does
// not overload one instance.
func (p *Picker) affinityChoice(r *Request) *slot {
	key, ok := r.affinityKey()
	if !ok {
		return nil
	}
	sum := 0.0
	for i := range p.candidates {
		sum += p.candidates[i].utilization
	}
	bound := p.cfg.LoadBoundFactor * sum / float64(len(p.candidates))
	var choice *slot
	var highest uint64
	for i := range p.candidates {
		c := &p.candidates[i]
		// The request itself does not count against the bound: with few requests,
		// any instance that has one is far above the mean.
		if c.utilization-c.requestShare > bound {
			continue
		}
		if weight := rendezvous.Score(key, c.slot.hash); choice == nil || weight > highest {
			choice, highest = c.slot, weight
		}
	}
	return choice
}

// chooseOfTwo draws two random candidates with nearly the best score and
// returns the better one. All entries see the same lagging reports; without the
// random choice they would all send to the same instance.
func (p *Picker) chooseOfTwo() candidate {
	best := p.candidates[0].score
	for i := range p.candidates {
		best = min(best, p.candidates[i].score)
	}
	n := 0
	for i := range p.candidates {
		if p.candidates[i].score <= best+p.cfg.ScoreTolerance {
			if n != i {
				p.candidates[n], p.candidates[i] = p.candidates[i], p.candidates[n]
			}
			n++
		}
	}
	first := p.candidates[p.rng.IntN(n)]
	second := p.candidates[p.rng.IntN(n)]
	if second.score < first.score {
		return second
	}
	return first
}
