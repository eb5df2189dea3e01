package spread

import (
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/rendezvous"
)

// PieceRequest is a piece that is to be asked of a source.
type PieceRequest struct {
	Source string
	Piece  int
}

// Scheduler decides which piece to ask of which source. It keeps to the plan
// while the plan works: the origin is asked by one member for each piece, and
// another region by one member of each region. It is not safe for concurrent
// use. Time is passed in.
type Scheduler struct {
	config Config
	plan   *Plan
	// news is when a piece was last seen that was known nowhere before.
	news time.Time
	// known tells which pieces some member has.
	known []bool
	// schedule tells when each piece is due at the origin.
	schedule schedule

	missing map[int]*piece
	// order lists the pieces in the order in which they are asked of peers. It is
	// another one for each member, so that members of a region get different
	// pieces first and can offer them to each other.
	order   []int
	sources map[string]*source
	dead    map[string]bool
}

// NewScheduler returns a Scheduler for the missing pieces of a version that all
// members began to fetch at about the time started.
func NewScheduler(config Config, plan *Plan, pieces int, missing []int, started time.Time) *Scheduler {
	s := &Scheduler{
		config: config.applyDefaults(), plan: plan, news: started, known: make([]bool, pieces),
		missing: make(map[int]*piece, len(missing)), sources: make(map[string]*source), dead: make(map[string]bool),
	}
	for i := range s.known {
		s.known[i] = true
	}
	for _, p := range missing {
		s.known[p] = false
		s.missing[p] = &piece{asks: make(map[string]time.Time), refused: make(map[string]bool)}
	}
	s.schedule = newSchedule(s.config.OriginPieceTime, s.unknown(), started)
	s.order = rand.New(rand.NewPCG(rendezvous.Hash(plan.self.ID), 0)).Perm(pieces)
	return s
}

// unknown returns the pieces that no member is known to have.
func (s *Scheduler) unknown() []int {
	var list []int
	for number, known := range s.known {
		if !known {
			list = append(list, number)
		}
	}
	return list
}

// Replan takes a plan with other members. What is known of sources stays.
func (s *Scheduler) Replan(plan *Plan) { s.plan = plan }

// Remaining returns the number of missing pieces.
func (s *Scheduler) Remaining() int { return len(s.missing) }

// Have takes note that a peer has pieces.
func (s *Scheduler) Have(peer string, pieces []int, now time.Time) {
	delete(s.dead, peer)
	src := s.source(peer)
	for _, number := range pieces {
		src.has[number] = true
		s.learn(number, now)
	}
}

// learn takes note that a piece has come into the deployment.
func (s *Scheduler) learn(number int, now time.Time) {
	if s.known[number] {
		return
	}
	s.known[number] = true
	s.news = now
	if s.schedule.lost() {
		s.schedule.resume(s.unknown(), now)
	}
	if p := s.missing[number]; p != nil {
		p.knownAt = now
	}
}

// PeerLost takes note that a peer cannot be reached.
func (s *Scheduler) PeerLost(peer string) {
	s.dead[peer] = true
	delete(s.sources, peer)
	for _, p := range s.missing {
		delete(p.asks, peer)
	}
}

// Received takes note that a piece is staged.
func (s *Scheduler) Received(number int, now time.Time) {
	p := s.missing[number]
	if p == nil {
		return
	}
	s.learn(number, now)
	for from := range p.asks {
		s.answered(p, from)
	}
	delete(s.missing, number)
}

// Failed takes note that a source did not deliver a piece. A peer that sent a
// spoilt piece is not asked for it again.
func (s *Scheduler) Failed(number int, from string, spoilt bool, now time.Time) {
	p := s.missing[number]
	if p == nil {
		return
	}
	s.answered(p, from)
	if from == Origin {
		// The silence is the origin's: the members are not late, and each of them
		// asks for its own pieces. All of them would ask for the same ones when it
		// returns.
		s.news = now
		if !spoilt {
			s.schedule.lose(s.unknown(), now)
		}
		return
	}
	if spoilt {
		p.refused[from] = true
	}
	if src := s.sources[from]; src != nil {
		delete(src.has, number)
	}
}

func (s *Scheduler) answered(p *piece, from string) {
	if _, asked := p.asks[from]; !asked {
		return
	}
	delete(p.asks, from)
	if src := s.sources[from]; src != nil {
		src.asked--
	}
}

// Next returns what is to be asked now.
func (s *Scheduler) Next(now time.Time) []PieceRequest {
	asks := s.nextOfOrigin(now)
	free := s.config.PeerRequests - s.peersAsked(now)
	for _, number := range s.order {
		if free <= 0 {
			break
		}
		p := s.missing[number]
		if p == nil || s.waiting(p, now) {
			continue
		}
		if from, ok := s.choosePeer(number, p, now); ok {
			asks = append(asks, s.ask(number, p, from, now))
			free--
		}
	}
	return asks
}

// nextOfOrigin asks the origin in the order of the pieces, which is that of
// their turns.
func (s *Scheduler) nextOfOrigin(now time.Time) []PieceRequest {
	var asks []PieceRequest
	free := s.config.OriginRequests - s.source(Origin).asked
	for number := 0; number < len(s.known) && free > 0; number++ {
		p := s.missing[number]
		if p == nil || s.waiting(p, now) {
			continue
		}
		_, asked := p.asks[Origin]
		if asked || s.offered(number, p) && !s.late(p, now) || !s.mayAskOrigin(number, now) {
			continue
		}
		asks = append(asks, s.ask(number, p, Origin, now))
		free--
	}
	return asks
}

func (s *Scheduler) ask(number int, p *piece, from string, now time.Time) PieceRequest {
	p.asks[from] = now
	s.source(from).asked++
	return PieceRequest{Source: from, Piece: number}
}

// OverdueMembers returns the members that should have brought a piece in by now and
// that are not heard of. Finding out which of them are dead lets the next ones
// take over at once.
func (s *Scheduler) OverdueMembers(now time.Time) []string {
	var suspects []string
	for _, number := range s.order {
		p := s.missing[number]
		if p == nil || s.known[number] || s.schedule.sinceDue(number, now) < s.config.OverdueAfter {
			continue
		}
		first := s.plan.firstAlive(number, s.dead)
		if first != s.plan.self.ID && s.sources[first] == nil {
			suspects = append(suspects, first)
		}
	}
	return suspects
}

// peersAsked counts the pieces that were asked of peers and may still arrive in
// time. Slow peers must not use up the asks.
func (s *Scheduler) peersAsked(now time.Time) int {
	n := 0
	for _, p := range s.missing {
		for from, at := range p.asks {
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
