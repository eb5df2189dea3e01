package config

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// PeerID names one connection to another process.
type PeerID struct {
	Instance   model.InstanceID
	Generation model.Generation
}

// peer is what is known about the other end of a connection.
type peer struct {
	head      Head
	announced Head
	at        time.Time // of the last announcement
	failed    time.Time // of the last fetch without an answer
	// leaf is true on connections between an entry and an agent.
	leaf bool
	// asked is true once the peer has fetched from this process.
	asked bool
}

// Peers decides which peers are told about a new revision before their next
// heartbeat, and from which one revisions are fetched. Heartbeats alone, at up
// to 3 s on an idle connection, would take longer than 9 s over several
// processes. It belongs to one owner.
type Peers struct {
	cfg     PeersConfig
	rng     *rand.Rand
	peers   map[PeerID]*peer
	fetch   PeerID
	fetched time.Time // when the outstanding fetch was sent; zero if none
	source  PeerID    // that answered the last fetch
	// highest is the highest revision that any peer reported so far.
	highest uint64
	// pausedFrom is when the last answered fetch was sent; zero after a failure.
	pausedFrom time.Time
}

// NewPeers returns Peers without connections.
func NewPeers(cfg PeersConfig, rng *rand.Rand) *Peers {
	cfg.applyDefaults()
	return &Peers{cfg: cfg, rng: rng, peers: make(map[PeerID]*peer)}
}

// Add tells what kind of connection leads to a peer. Leaf is true between an
// entry and an agent, seen from either end: an agent passes nothing on and is
// connected to several entries, of which only the one that it fetches from
// announces changes. The heartbeats of the others serve if that one fails.
// Without Joined, a connection counts as no leaf.
func (p *Peers) Add(id PeerID, leaf bool) { p.peer(id).leaf = leaf }

// MarkFetching notes that a peer fetches from this process.
func (p *Peers) MarkFetching(id PeerID) { p.peer(id).asked = true }

// ObserveHead takes the head in a heartbeat of a peer. A damaged or foreign history,
// for which Replica.Observe returns ErrChain, is reported with Refused instead.
func (p *Peers) ObserveHead(id PeerID, head Head) {
	p.peer(id).head = head
	p.highest = max(p.highest, head.Number)
}

// Reject makes Fetch pass over a peer until it reports another head.
func (p *Peers) Reject(id PeerID) {
	if known := p.peers[id]; known != nil {
		known.head = Head{}
	}
	p.FetchAnswered(id)
	p.pausedFrom = time.Time{}
}

// Remove forgets a peer whose connection ended.
func (p *Peers) Remove(id PeerID) {
	delete(p.peers, id)
	p.FetchAnswered(id)
	p.pausedFrom = time.Time{}
}

// FetchAnswered ends the outstanding fetch from a peer.
func (p *Peers) FetchAnswered(id PeerID) {
	if p.fetch == id {
		p.pausedFrom = p.fetched
		p.fetch, p.fetched = PeerID{}, time.Time{}
		p.source = id
	}
}

// MarkAnnounced notes that a heartbeat with the head was sent to a peer.
func (p *Peers) MarkAnnounced(id PeerID, head Head, now time.Time) {
	known := p.peer(id)
	known.announced, known.at = head, now
}

// AnnounceTargets returns the peers that do not know the head and may be sent a
// heartbeat now. The caller reports each with Announced.
func (p *Peers) AnnounceTargets(head Head, now time.Time) []PeerID {
	var ids []PeerID
	for id, known := range p.peers {
		if known.leaf && !known.asked {
			continue
		}
		pause := p.cfg.AnnounceInterval
		if known.leaf {
			pause = p.cfg.LeafInterval
		}
		if known.head.Number < head.Number && known.announced != head && now.Sub(known.at) >= pause {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, comparePeers)
	return ids
}

// StartFetch returns a peer to send a ConfigFetch to, if one holds a higher
// revision and no fetch is outstanding. Fetches over leaf connections keep a
// distance, so that one merged revision carries several changes of a burst.
func (p *Peers) StartFetch(head Head, now time.Time) (PeerID, bool) {
	if !p.fetched.IsZero() {
		if now.Sub(p.fetched) < p.cfg.FetchTimeout {
			return PeerID{}, false
		}
		if known := p.peers[p.fetch]; known != nil {
			known.failed = now
		}
	}
	id, ok := p.best(head, now)
	if ok && p.peers[id].leaf && !p.pausedFrom.IsZero() && now.Sub(p.pausedFrom) < p.cfg.LeafInterval {
		return PeerID{}, false
	}
	if ok {
		p.fetch, p.fetched = id, now
	}
	return id, ok
}

// best picks the highest head, and among equals the source of the last fetch,
// which therefore announces to this process, or else one at random, so that not
// all processes fetch from the one that announced first. Peers that just failed
// to answer come last.
func (p *Peers) best(head Head, now time.Time) (PeerID, bool) {
	if p.highest <= head.Number {
		return PeerID{}, false
	}
	var ids []PeerID
	var highest uint64
	for _, failed := range []bool{false, true} {
		for id, known := range p.peers {
			recent := !known.failed.IsZero() && now.Sub(known.failed) < 3*p.cfg.FetchTimeout
			if recent != failed || known.head.Number <= head.Number || known.head.Number < highest {
				continue
			}
			if known.head.Number > highest {
				ids, highest = ids[:0], known.head.Number
			}
			ids = append(ids, id)
		}
		if len(ids) > 0 {
			break
		}
	}
	if len(ids) == 0 {
		return PeerID{}, false
	}
	if slices.Contains(ids, p.source) {
		return p.source, true
	}
	slices.SortFunc(ids, comparePeers)
	return ids[p.rng.Intn(len(ids))], true
}

func (p *Peers) peer(id PeerID) *peer {
	known := p.peers[id]
	if known == nil {
		known = &peer{}
		p.peers[id] = known
	}
	return known
}

func comparePeers(a, b PeerID) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Generation, b.Generation))
}
