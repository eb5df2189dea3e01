package spread

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// PieceRequest is a piece to request from a source.
type PieceRequest struct {
	Source string
	Piece  int
}

// Scheduler decides which pieces to request from which sources. As long as the
// planned members are reachable it follows the plan: each piece is requested
// from the origin by one member, and from another region by one member per
// region. It is not safe for concurrent use. The caller passes in the time.
type Scheduler struct {
	config Config
	plan   *Plan
	// lastNewPiece is when a piece last became available at any member.
	lastNewPiece time.Time
	// available marks the pieces that some member has.
	available []bool
	// schedule determines when each piece is due at the origin.
	schedule schedule
	// window bounds the concurrent requests to peers.
	window window

	missing map[int]*missingPiece
	// order is the order in which pieces are requested from peers. It differs
	// between members, so that the members of a region receive different pieces
	// first and can offer them to each other.
	order       []int
	sources     map[string]*source
	unreachable map[string]bool
	// narrow are the members whose links are narrow, including this one.
	narrow map[string]bool
}

// NewScheduler returns a Scheduler for the missing pieces of a version that all
// members started to fetch at about the given time.
func NewScheduler(config Config, plan *Plan, pieces int, missing []int, started time.Time) *Scheduler {
	s := &Scheduler{
		config: config.applyDefaults(), plan: plan, lastNewPiece: started, available: make([]bool, pieces),
		missing: make(map[int]*missingPiece, len(missing)), sources: make(map[string]*source), unreachable: make(map[string]bool), narrow: make(map[string]bool),
	}
	for i := range s.available {
		s.available[i] = true
	}
	for _, p := range missing {
		s.available[p] = false
		s.missing[p] = &missingPiece{requests: make(map[string]time.Time), excluded: make(map[string]bool)}
	}
	s.window = window{limit: s.config.PeerRequests}
	s.schedule = newSchedule(s.config.OriginPieceTime, s.unavailable(), started)
	s.order = rand.New(rand.NewPCG(rendezvous.Hash(plan.self.ID), 0)).Perm(pieces)
	return s
}

// unavailable returns the pieces that no member is known to have.
func (s *Scheduler) unavailable() []int {
	var pieces []int
	for piece, available := range s.available {
		if !available {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

// Replan replaces the plan after a change of members. What is known about the
// sources is kept.
func (s *Scheduler) Replan(plan *Plan) { s.plan = plan }

// Remaining returns the number of missing pieces.
func (s *Scheduler) Remaining() int { return len(s.missing) }

// Have records that a peer has pieces.
func (s *Scheduler) Have(peer string, pieces []int, now time.Time) {
	delete(s.unreachable, peer)
	src := s.source(peer)
	for _, number := range pieces {
		src.has[number] = true
		s.markAvailable(number, now)
	}
}

// markAvailable records that a piece is available at a member.
func (s *Scheduler) markAvailable(number int, now time.Time) {
	if s.available[number] {
		return
	}
	s.available[number] = true
	s.lastNewPiece = now
	if s.schedule.originDown() {
		s.schedule.markUp(s.unavailable(), now)
	}
	if p := s.missing[number]; p != nil {
		p.availableAt = now
	}
}

// PeerLost records that a peer cannot be reached.
func (s *Scheduler) PeerLost(peer string) {
	s.unreachable[peer] = true
	delete(s.sources, peer)
	for _, p := range s.missing {
		delete(p.requests, peer)
	}
}

// Received records that a piece has been received and verified.
func (s *Scheduler) Received(number int, now time.Time) {
	p := s.missing[number]
	if p == nil {
		return
	}
	s.markAvailable(number, now)
	for from := range p.requests {
		s.closeRequest(p, from)
	}
	delete(s.missing, number)
}

// ReceivedFromPeer is Received for a piece from a peer whose bytes arrived within the
// given time.
func (s *Scheduler) ReceivedFromPeer(number int, transfer time.Duration, now time.Time) {
	s.window.received(transfer, now)
	s.narrow[s.plan.self.ID] = s.window.narrow()
	s.Received(number, now)
}

// LinkDelay returns how long other data may wait on the instance's link if it is too
// narrow for half of the requests that may be open at the same time, and zero otherwise.
// Peers should know whether it is.
func (s *Scheduler) LinkDelay() time.Duration {
	if !s.window.narrow() {
		return 0
	}
	return s.window.queueTime()
}

// SetNarrow records whether the link of a peer is narrow. Other members fetch the pieces
// that it would fetch from the origin or into its region: each of them would occupy its
// link once for each member that has none.
func (s *Scheduler) SetNarrow(peer string, narrow bool) { s.narrow[peer] = narrow }

// Failed records that a source didn't deliver a piece. A peer that sent a
// corrupt piece is not asked for it again.
func (s *Scheduler) Failed(number int, from string, corrupt bool, now time.Time) {
	p := s.missing[number]
	if p == nil {
		return
	}
	s.closeRequest(p, from)
	if from == Origin {
		if !corrupt && s.originBusy(now) {
			// The piece stays due, so it is requested again after the caller's delay.
			return
		}
		// The delay is the origin's and not that of the responsible members, so don't
		// let others take over: all of them would request the same pieces when it
		// returns.
		s.lastNewPiece = now
		if !corrupt {
			s.schedule.markDown(s.unavailable(), now)
		}
		return
	}
	if corrupt {
		p.excluded[from] = true
	}
	if src := s.sources[from]; src != nil {
		delete(src.has, number)
	}
}

// originBusy reports whether pieces still arrive from the origin, so that a failed request
// means that its link or its queue of connections is full. Members that took it for down
// asked again only once in each retry round, and their pieces came seconds late.
func (s *Scheduler) originBusy(now time.Time) bool {
	return !s.schedule.originDown() && s.anyAvailable() && now.Sub(s.lastNewPiece) < s.originIdleTime()
}

// anyAvailable reports whether any piece is available at some member.
func (s *Scheduler) anyAvailable() bool { return slices.Contains(s.available, true) }

// originIdleTime is the time without a new piece after which the origin's link counts as
// idle.
func (s *Scheduler) originIdleTime() time.Duration {
	return max(originIdlePieces*s.config.OriginPieceTime, s.config.OriginIdleAfter)
}

func (s *Scheduler) closeRequest(p *missingPiece, from string) {
	if _, open := p.requests[from]; !open {
		return
	}
	delete(p.requests, from)
	if src := s.sources[from]; src != nil {
		src.openRequests--
	}
}

// Next returns the requests to send now.
func (s *Scheduler) Next(now time.Time) []PieceRequest {
	requests := s.nextFromOrigin(now)
	free := s.window.size() - s.openPeerRequests(now)
	for _, number := range s.order {
		if free <= 0 {
			break
		}
		p := s.missing[number]
		if p == nil || s.recentlyRequested(p, now) {
			continue
		}
		if from, ok := s.choosePeer(number, p, now); ok {
			requests = append(requests, s.request(number, p, from, now))
			free--
		}
	}
	return requests
}

// nextFromOrigin returns requests to the origin in the order of the pieces,
// which is the order in which they are due.
func (s *Scheduler) nextFromOrigin(now time.Time) []PieceRequest {
	var requests []PieceRequest
	free := s.config.OriginRequests - s.source(Origin).openRequests
	overtaken := s.overtakenBefore()
	for number := 0; number < len(s.available) && free > 0; number++ {
		p := s.missing[number]
		if p == nil || s.recentlyRequested(p, now) {
			continue
		}
		_, open := p.requests[Origin]
		if open || s.offeredByPeer(number, p) && !s.anyTimedOut(p, now) || !s.mayUseOrigin(number, overtaken, now) {
			continue
		}
		requests = append(requests, s.request(number, p, Origin, now))
		free--
	}
	return requests
}

func (s *Scheduler) request(number int, p *missingPiece, from string, now time.Time) PieceRequest {
	p.requests[from] = now
	s.source(from).openRequests++
	return PieceRequest{Source: from, Piece: number}
}

// OverdueMembers returns unconnected members that are responsible for an overdue
// piece. If one turns out to be unreachable, the next one can take over at once.
func (s *Scheduler) OverdueMembers(now time.Time) []string {
	var overdue []string
	for _, number := range s.order {
		p := s.missing[number]
		if p == nil || s.available[number] || s.schedule.sinceDue(number, now) < s.config.OverdueAfter {
			continue
		}
		member := s.plan.responsible(number, s.unreachable, s.narrow)
		if member != s.plan.self.ID && s.sources[member] == nil {
			overdue = append(overdue, member)
		}
	}
	return overdue
}

// openPeerRequests counts the requests to peers that haven't timed out. Slow
// peers must not use up the limit.
func (s *Scheduler) openPeerRequests(now time.Time) int {
	n := 0
	for _, p := range s.missing {
		for from, at := range p.requests {
			if from != Origin && now.Sub(at) < s.config.RequestTimeout {
				n++
			}
		}
	}
	return n
}

func (s *Scheduler) source(id string) *source {
	src := s.sources[id]
	if src == nil {
		src = &source{has: make(map[int]bool)}
		s.sources[id] = src
	}
	return src
}
