package spread_test

import (
	"fmt"
	"sort"
	"time"

	"github.com/auburnbend/auburnbend/lib/spread"
)

// swarm simulates a distribution in virtual time. Each transfer takes a fixed
// time; link bandwidth is not modelled.
type swarm struct {
	now       time.Time
	pieces    int
	members   []spread.Member
	agents    map[string]*agent
	transfers []transfer
	// originTransfers and regionCrossings count transfers; maxOpenAtOrigin is the
	// largest number of concurrent transfers from the origin.
	originTransfers, regionCrossings, maxOpenAtOrigin int
	// originDown makes all requests to the origin fail.
	originDown bool
	// sendsCorrupt marks sources that send corrupt pieces.
	sendsCorrupt map[string]bool
	// knownMembers holds the members that an instance knows, for instances that
	// don't know all of them.
	knownMembers map[string][]spread.Member
}

type agent struct {
	member    spread.Member
	plan      *spread.Plan
	scheduler *spread.Scheduler
	has       map[int]bool
	dead      bool
	// silent members neither send nor receive anything, but their connections stay open.
	silent bool
	// slow members take a second to send or receive a piece. narrow ones know it and tell
	// their peers.
	slow, narrow bool
	doneAt       time.Time
}

type transfer struct {
	arrivesAt time.Time
	to, from  string
	piece     int
}

const (
	pieceTime = 27 * time.Millisecond
	step      = 10 * time.Millisecond
)

func newSwarm(regions, perRegion, pieces int) *swarm {
	s := &swarm{now: time.Unix(1000, 0), pieces: pieces, agents: make(map[string]*agent), sendsCorrupt: make(map[string]bool)}
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
		a.plan = spread.NewPlan(a.member, s.membersKnownTo(a.member), s.pieces)
		a.scheduler = spread.NewScheduler(spread.Config{OriginPieceTime: pieceTime}, a.plan, s.pieces, missing, s.now)
	}
}

// membersKnownTo returns the members that an instance knows.
func (s *swarm) membersKnownTo(m spread.Member) []spread.Member {
	if known, ok := s.knownMembers[m.ID]; ok {
		return known
	}
	return s.members
}

// run advances the simulation by at most limit, and reports whether all live
// agents that aren't slow received all pieces.
func (s *swarm) run(limit time.Duration) bool {
	end := s.now.Add(limit)
	for s.now.Before(end) {
		unfinished := 0
		for _, id := range s.ids() {
			a := s.agents[id]
			if a.dead || a.silent || a.scheduler.Remaining() == 0 {
				continue
			}
			if !a.slow {
				unfinished++
			}
			s.announce(a)
			a.narrow = a.scheduler.LinkDelay() > 0
			for _, req := range a.scheduler.Next(s.now) {
				s.transfers = append(s.transfers, transfer{arrivesAt: s.now.Add(s.transferTime(id, req.Source)), to: id, from: req.Source, piece: req.Piece})
			}
		}
		if unfinished == 0 {
			return true
		}
		s.maxOpenAtOrigin = max(s.maxOpenAtOrigin, s.openAtOrigin())
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
		if peer.silent {
			continue
		}
		var have []int
		for p := range peer.has {
			have = append(have, p)
		}
		if id != a.member.ID {
			a.scheduler.SetNarrow(id, peer.narrow)
		}
		if id != a.member.ID && len(have) > 0 {
			a.scheduler.Have(id, have, s.now)
		}
	}
}

func (s *swarm) deliver() {
	var pending []transfer
	for _, t := range s.transfers {
		if t.arrivesAt.After(s.now) {
			pending = append(pending, t)
			continue
		}
		a := s.agents[t.to]
		switch from := s.agents[t.from]; {
		case a.dead, a.silent, from != nil && from.silent:
		case t.from == spread.Origin && s.originDown:
			a.scheduler.Failed(t.piece, t.from, false, s.now)
		case t.from == spread.Origin:
			s.originTransfers++
			s.receive(a, t)
		case from.dead:
			a.scheduler.PeerLost(t.from)
		case s.sendsCorrupt[t.from]:
			a.scheduler.Failed(t.piece, t.from, true, s.now)
		default:
			if from.member.Region != a.member.Region {
				s.regionCrossings++
			}
			s.receive(a, t)
		}
	}
	s.transfers = pending
}

func (s *swarm) receive(a *agent, t transfer) {
	a.has[t.piece] = true
	if t.from == spread.Origin {
		a.scheduler.Received(t.piece, s.now)
	} else {
		a.scheduler.ReceivedFromPeer(t.piece, s.transferTime(t.to, t.from), s.now)
	}
	a.doneAt = s.now
}
