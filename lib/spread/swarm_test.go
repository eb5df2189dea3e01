package spread_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburnbend/auburnbend/lib/spread"
)

// swarm plays a distribution in simulated time. Each transfer takes a fixed
// time; links are not modelled.
type swarm struct {
	now       time.Time
	pieces    int
	members   []spread.Member
	agents    map[string]*agent
	transfers []transfer
	// fromOrigin and crossed count transfers, mostOpen the most that were open at the
	// origin at the same time.
	fromOrigin, crossed, mostOpen int
	// down tells that the origin does not answer.
	down bool
	// spoils tells whether a source sends spoilt bytes.
	spoils map[string]bool
	// lists gives the members that each one knows, where it does not know all.
	lists map[string][]spread.Member
}

type agent struct {
	member    spread.Member
	plan      *spread.Plan
	scheduler *spread.Scheduler
	has       map[int]bool
	dead      bool
	// slow members send and receive a piece in a second.
	slow   bool
	doneAt time.Time
}

type transfer struct {
	at       time.Time
	to, from string
	piece    int
}

const (
	pieceTime = 27 * time.Millisecond
	step      = 10 * time.Millisecond
)

func newSwarm(regions, perRegion, pieces int) *swarm {
	s := &swarm{now: time.Unix(1000, 0), pieces: pieces, agents: make(map[string]*agent), spoils: make(map[string]bool)}
	for r := range regions {
		for i := range perRegion {
			s.members = append(s.members, spread.Member{ID: fmt.Sprintf("%d.%d", r, i), Region: fmt.Sprint(r)})
		}
	}
	for _, m := range s.members {
		s.agents[m.ID] = &agent{member: m, has: make(map[int]bool)}
	}
	return s
}

func (s *swarm) start() {
	for _, a := range s.agents {
		var missing []int
		for p := range s.pieces {
			if !a.has[p] {
				missing = append(missing, p)
			}
		}
		a.plan = spread.NewPlan(a.member, s.listed(a.member), s.pieces)
		a.scheduler = spread.NewScheduler(spread.Config{OriginPieceTime: pieceTime}, a.plan, s.pieces, missing, s.now)
	}
}

// listed returns the members that one of them knows.
func (s *swarm) listed(m spread.Member) []spread.Member {
	if list, ok := s.lists[m.ID]; ok {
		return list
	}
	return s.members
}

// play runs until all living agents have all pieces, or the limit.
func (s *swarm) play(limit time.Duration) bool {
	end := s.now.Add(limit)
	for s.now.Before(end) {
		open := 0
		for _, id := range s.ids() {
			a := s.agents[id]
			if a.dead || a.scheduler.Remaining() == 0 {
				continue
			}
			if !a.slow {
				open++
			}
			s.announce(a)
			for _, ask := range a.scheduler.Next(s.now) {
				s.transfers = append(s.transfers, transfer{at: s.now.Add(s.transferTime(id, ask.Source)), to: id, from: ask.Source, piece: ask.Piece})
			}
		}
		if open == 0 {
			return true
		}
		s.mostOpen = max(s.mostOpen, s.openAtOrigin())
		s.now = s.now.Add(step)
		s.deliver()
	}
	return false
}

func (s *swarm) openAtOrigin() int {
	n := 0
	for _, t := range s.transfers {
		if t.from == spread.Origin {
			n++
		}
	}
	return n
}

func (s *swarm) transferTime(to, from string) time.Duration {
	if peer := s.agents[from]; s.agents[to].slow || peer != nil && peer.slow {
		return time.Second
	}
	return pieceTime
}

func (s *swarm) ids() []string {
	var ids []string
	for id := range s.agents {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (s *swarm) announce(a *agent) {
	connected := make(map[string]bool)
	for _, id := range append(a.plan.Peers(), a.scheduler.OverdueMembers(s.now)...) {
		connected[id] = true
		if s.agents[id] == nil {
			a.scheduler.PeerLost(id)
		}
	}
	for _, id := range s.ids() {
		peer := s.agents[id]
		if !connected[id] {
			continue
		}
		if peer.dead {
			a.scheduler.PeerLost(id)
			continue
		}
		var have []int
		for p := range peer.has {
			have = append(have, p)
		}
		if id != a.member.ID && len(have) > 0 {
			a.scheduler.Have(id, have, s.now)
		}
	}
}

func (s *swarm) deliver() {
	var later []transfer
	for _, t := range s.transfers {
		if t.at.After(s.now) {
			later = append(later, t)
			continue
		}
		a := s.agents[t.to]
		switch from := s.agents[t.from]; {
		case a.dead:
		case t.from == spread.Origin && s.down:
			a.scheduler.Failed(t.piece, t.from, false, s.now)
		case t.from == spread.Origin:
			s.fromOrigin++
			s.got(a, t)
		case from.dead:
			a.scheduler.PeerLost(t.from)
		case s.spoils[t.from]:
			a.scheduler.Failed(t.piece, t.from, true, s.now)
		default:
			if from.member.Region != a.member.Region {
				s.crossed++
			}
			s.got(a, t)
		}
	}
	s.transfers = later
}

func (s *swarm) got(a *agent, t transfer) {
	a.has[t.piece] = true
	a.scheduler.Received(t.piece, s.now)
	a.doneAt = s.now
}
