package spread

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// offeredByPeer reports whether a peer that hasn't sent the piece corrupt has
// it.
func (s *Scheduler) offeredByPeer(number int, p *missingPiece) bool {
	for id, src := range s.sources {
		if id != Origin && src.has[number] && !p.excluded[id] {
			return true
		}
	}
	return false
}

// recentlyRequested reports whether a request for the piece is open and hasn't
// timed out.
func (s *Scheduler) recentlyRequested(p *missingPiece, now time.Time) bool {
	for _, at := range p.requests {
		if now.Sub(at) < s.config.RequestTimeout {
			return true
		}
	}
	return false
}

// choosePeer returns the peer to request a piece from: one of the region, or one
// of another region if this instance fetches the piece into its own.
func (s *Scheduler) choosePeer(number int, p *missingPiece, now time.Time) (string, bool) {
	best, bestLocal, found := "", false, false
	remoteAllowed := s.mayCrossRegions(number, now)
	for id, src := range s.sources {
		if id == Origin || !src.has[number] || p.excluded[id] {
			continue
		}
		local := s.plan.inRegion(id)
		if _, open := p.requests[id]; open || !local && !remoteAllowed {
			continue
		}
		if !found || local && !bestLocal || local == bestLocal && s.preferred(id, best, number) {
			best, bestLocal, found = id, local, true
		}
	}
	return best, found
}

// anyTimedOut reports whether an open request for the piece has timed out.
func (s *Scheduler) anyTimedOut(p *missingPiece, now time.Time) bool {
	for _, at := range p.requests {
		if now.Sub(at) >= s.config.RequestTimeout {
			return true
		}
	}
	return false
}

// preferred reports whether peer a is preferred to peer b: this instance has
// fewer open requests to it, or its weight is higher. Weights differ between
// instances and pieces, so that not all instances choose the same peer.
func (s *Scheduler) preferred(a, b string, number int) bool {
	if s.sources[a].openRequests != s.sources[b].openRequests {
		return s.sources[a].openRequests < s.sources[b].openRequests
	}
	key := rendezvous.Hash(s.plan.self.ID) + uint64(number)
	return rendezvous.Score(key, rendezvous.Hash(a)) > rendezvous.Score(key, rendezvous.Hash(b))
}

// mayCrossRegions reports whether this instance may fetch a piece from another
// region: it is the first reachable member of its region for the piece, or the
// members before it have not fetched the piece in their time since it became
// available.
func (s *Scheduler) mayCrossRegions(number int, now time.Time) bool {
	before := s.plan.reachableMembersBefore(s.plan.rankedInRegion(number), s.unreachable, s.narrow)
	p := s.missing[number]
	return before == 0 || !p.availableAt.IsZero() && now.Sub(p.availableAt) >= s.config.OverdueAfter+time.Duration(before)*s.config.TakeoverStagger
}

// mayUseOrigin reports whether this instance may fetch a piece from the origin:
// it is the first reachable member for the piece, or the members before it have not
// fetched it in their time, although later pieces have come or the origin's link is idle.
// On a busy link additional readers would only share it. overtaken is the result of
// overtakenBefore.
func (s *Scheduler) mayUseOrigin(number, overtaken int, now time.Time) bool {
	since := s.schedule.sinceDue(number, now)
	if since < 0 {
		return false
	}
	before := s.plan.reachableMembersBefore(s.plan.ranked(number), s.unreachable, s.narrow)
	if before == 0 {
		return true
	}
	if before <= int(since/s.config.OverdueAfter) && s.schedule.positions[number] < overtaken {
		return true
	}
	idle := s.originIdleTime() + time.Duration(before)*s.config.TakeoverStagger
	return since >= s.config.OverdueAfter && now.Sub(s.lastNewPiece) >= idle
}

// overtakenBefore returns the position in the schedule before which missing pieces are
// overtaken: so many later ones are available that it is not the origin which delays
// them.
func (s *Scheduler) overtakenBefore() int {
	var latest []int
	for number, position := range s.schedule.positions {
		if s.available[number] {
			latest = append(latest, position)
		}
	}
	if len(latest) < overtakingPieces {
		return 0
	}
	slices.Sort(latest)
	return latest[len(latest)-overtakingPieces]
}
