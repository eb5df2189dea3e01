package route

import (
	"math"
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// scored is a candidate of one Pick.
type scored struct {
	slot  *slot
	busy  float64 // share of the warm capacity that the request would fill
	one   float64 // part of busy that is the request itself
	score float64
	local bool
	free  bool
}

// Pick returns the instance for a request, or a *Refusal. It changes nothing
// that later picks depend on except the random source; the caller confirms the
// choice with Started.
func (p *Picker) Pick(now time.Time, r *Request) (Choice, error) {
	at := p.instant(now)
	matching := p.filter(at, r)
	if len(p.best) == 0 {
		if matching {
			return Choice{}, &Refusal{Reason: outcome.ReasonOverloaded, RetryAfter: p.cfg.RetryAfter}
		}
		return Choice{}, &Refusal{Reason: outcome.ReasonNoBackendServer, RetryAfter: p.cfg.RetryAfter}
	}
	p.keepLocal(at)
	p.score(now, r)
	if wait := p.keepFree(now, r); wait || len(p.best) == 0 {
		return Choice{}, &Refusal{Reason: outcome.ReasonOverloaded, RetryAfter: p.cfg.RetryAfter, Deferred: wait}
	}
	c := p.twoChoices()
	return Choice{Key: c.slot.Key(), Spilled: !c.local, CachedBlocks: p.prefix.depth(c.slot.number)}, nil
}

// filter collects the candidates into p.best. It reports whether any instance
// serves the request at all, be it full or excluded now. Instances without a
// fresh report are kept only when there is no other.
func (p *Picker) filter(now instant, r *Request) (matching bool) {
	p.best = p.best[:0]
	fresh := 0
	pool := p.pools.of(r.Pool)
	var weights uint32
	if !r.Weights.IsZero() {
		weights = p.live.of(r.Weights)
	}
	for _, s := range p.slots {
		if s == nil || s.pool != pool || s.Draining || !s.Role.serves(r.Role) || !s.hasWeights(weights) {
			continue
		}
		matching = true
		if s.outlier.ejected(now) || (r.Allowed != nil && !r.Allowed(s.Key())) {
			continue
		}
		requests, one := s.use(now, &p.cfg)
		c := scored{
			slot:  s,
			busy:  (requests + 1) * one,
			one:   one,
			local: s.Location.FailureDomain == p.cfg.Domain,
			free:  r.HasCapacity == nil || r.HasCapacity(s.Key()),
		}
		p.best = append(p.best, c)
		if now.sub(s.heard) <= p.cfg.MaxReportAge {
			// Fresh candidates are kept in front.
			if last := len(p.best) - 1; fresh != last {
				p.best[fresh], p.best[last] = p.best[last], p.best[fresh]
			}
			fresh++
		}
	}
	if fresh > 0 {
		p.best = p.best[:fresh]
	}
	return matching
}

// keepFree drops the candidates that are full. It reports whether the request
// should wait for a better one that is full: delay scheduling (Zaharia et al.,
// 2010).
func (p *Picker) keepFree(now time.Time, r *Request) (wait bool) {
	best, bestFree := math.Inf(1), math.Inf(1)
	all := len(p.best)
	kept := p.best[:0]
	for _, c := range p.best {
		best = min(best, c.score)
		if c.free {
			bestFree = min(bestFree, c.score)
			kept = append(kept, c)
		}
	}
	p.best = kept
	if len(kept) == 0 {
		return false
	}
	patient := now.Sub(r.OfferedAt) < p.cfg.MaxWait
	few := float64(len(kept)) < p.cfg.MinFreeShare*float64(all)
	return patient && few && bestFree-best >= p.cfg.MinWaitGain
}

// keepLocal drops candidates of other failure domains unless all local ones
// are full, or loaded past the threshold, or there is none.
func (p *Picker) keepLocal(at instant) {
	locals := 0
	for i := range p.best {
		if p.best[i].local {
			locals++
		}
	}
	if locals == 0 || locals == len(p.best) {
		return
	}
	best := math.Inf(1)
	for i := range p.best {
		if c := &p.best[i]; c.local && c.free {
			// A slow start is no lack of capacity.
			best = min(best, c.busy*c.slot.warmth(at, &p.cfg))
		}
	}
	if best > p.cfg.SpillThreshold {
		return
	}
	kept := p.best[:0]
	for _, c := range p.best {
		if c.local {
			kept = append(kept, c)
		}
	}
	p.best = kept
}

// score rates the candidates; lower is better. The unit is the share of the
// capacity that the request would find in use.
func (p *Picker) score(now time.Time, r *Request) {
	p.prefix.match(now, r.Prefix)
	preferred := p.preferred(r)
	for i := range p.best {
		c := &p.best[i]
		c.score = c.busy
		if !c.local {
			delay := p.cfg.DomainDelay
			if c.slot.Location.Region != p.cfg.Region {
				delay = p.cfg.RegionDelay
			}
			c.score += float64(delay) / float64(p.cfg.FullLoadDelay)
		}
		if cached := p.prefix.depth(c.slot.number); cached > 0 {
			c.score -= p.cfg.CacheBonus * float64(cached) / float64(len(r.Prefix))
		}
		if c.slot == preferred {
			c.score -= p.cfg.AffinityBonus
		}
	}
}

// preferred returns the rendezvous choice for the request's prefix among the
// candidates whose load is within the bound, so that one popular prefix does
// not overload one instance.
func (p *Picker) preferred(r *Request) *slot {
	key, ok := r.affinityKey()
	if !ok {
		return nil
	}
	sum := 0.0
	for i := range p.best {
		sum += p.best[i].busy
	}
	bound := p.cfg.LoadBoundFactor * sum / float64(len(p.best))
	var choice *slot
	var highest uint64
	for i := range p.best {
		c := &p.best[i]
		// One request more is always within the bound: with few requests, any
		// instance that has one is far over the mean.
		if c.busy-c.one > bound {
			continue
		}
		if weight := rendezvous.Combine(key, c.slot.hash); choice == nil || weight > highest {
			choice, highest = c.slot, weight
		}
	}
	return choice
}

// twoChoices draws two of the candidates that are about as good as the best and
// takes the less loaded one. Entries see the same lagging reports; without the
// random choice all of them would send to the same instance.
func (p *Picker) twoChoices() scored {
	best := p.best[0].score
	for i := range p.best {
		best = min(best, p.best[i].score)
	}
	n := 0
	for i := range p.best {
		if p.best[i].score <= best+p.cfg.ScoreTolerance {
			if n != i {
				p.best[n], p.best[i] = p.best[i], p.best[n]
			}
			n++
		}
	}
	first := p.best[p.rng.IntN(n)]
	second := p.best[p.rng.IntN(n)]
	if second.score < first.score {
		return second
	}
	return first
}
