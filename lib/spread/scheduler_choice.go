package spread

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// offered reports whether a peer has a piece that it has not sent spoilt.
func (s *Scheduler) offered(number int, p *piece) bool {
	for id, src := range s.sources {
		if id != Origin && src.has[number] && !p.refused[id] {
			return true
		}
	}
	return false
}

// waiting reports whether a piece was asked for recently.
func (s *Scheduler) waiting(p *piece, now time.Time) bool {
	for _, at := range p.asks {
		if now.Sub(at) < s.config.RequestTimeout {
			return true
		}
	}
	return false
}

// choosePeer returns the peer to ask for a piece: one of the region, or one of
// another region if this instance brings the piece in.
func (s *Scheduler) choosePeer(number int, p *piece, now time.Time) (string, bool) {
	best, bestNear, found := "", false, false
	cross := s.mayCross(number, now)
	for id, src := range s.sources {
		if id == Origin || !src.has[number] || p.refused[id] {
			continue
		}
		near := s.plan.near(id)
		if _, asked := p.asks[id]; asked || !near && !cross {
			continue
		}
		if !found || near && !bestNear || near == bestNear && s.lighter(id, best, number) {
			best, bestNear, found = id, near, true
		}
	}
	return best, found
}

// late reports whether a source that was asked for a piece takes too long.
func (s *Scheduler) late(p *piece, now time.Time) bool {
	for _, at := range p.asks {
		if now.Sub(at) >= s.config.RequestTimeout {
			return true
		}
	}
	return false
}

// lighter reports whether a is to be preferred to b: it has fewer open asks of
// this instance, or a higher weight. Weights differ between instances and
// pieces, so that not all ask the same peer.
func (s *Scheduler) lighter(a, b string, number int) bool {
	if s.sources[a].asked != s.sources[b].asked {
		return s.sources[a].asked < s.sources[b].asked
	}
	key := rendezvous.Hash(s.plan.self.ID) + uint64(number)
	return rendezvous.Combine(key, rendezvous.Hash(a)) > rendezvous.Combine(key, rendezvous.Hash(b))
}

// mayCross reports whether this instance brings a piece into its region: it is
// the first living member for it, or those before it had their time since the
// piece came into the deployment.
func (s *Scheduler) mayCross(number int, now time.Time) bool {
	turn := s.plan.turnAlive(s.plan.rankedNear[number], s.dead)
	p := s.missing[number]
	return turn == 0 || !p.knownAt.IsZero() && now.Sub(p.knownAt) >= s.config.OverdueAfter+time.Duration(turn)*s.config.TakeoverStagger
}

// mayAskOrigin reports whether this instance brings a piece into the
// deployment: it is the first living member for it, or those before it had their
// time and the origin is quiet. While it is busy, more readers would only share
// its link.
func (s *Scheduler) mayAskOrigin(number int, now time.Time) bool {
	since := s.schedule.sinceDue(number, now)
	if since < 0 {
		return false
	}
	turn := s.plan.turnAlive(s.plan.ranked[number], s.dead)
	if turn == 0 {
		return true
	}
	quiet := max(quietPieces*s.config.OriginPieceTime, s.config.OriginIdleAfter) + time.Duration(turn)*s.config.TakeoverStagger
	return since >= s.config.OverdueAfter && now.Sub(s.news) >= quiet
}
