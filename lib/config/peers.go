package config

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// PeerID identifies one generation of another process.
type PeerID struct {
	Instance   model.InstanceID
	Generation model.Generation
}

// peer is the state of one connected peer.
type peer struct {
	head        Head
	announced   Head
	announcedAt time.Time // when the last announcement was sent
	failedAt    time.Time // when the last fetch from the peer timed out
	// leaf is true for connections between an entry and an agent.
	leaf bool
	// fetches is true if the peer has fetched revisions from this process.
	fetches bool
}

// Peers decides which peers get a new revision announced before their next
// regular heartbeat, and from which peer revisions are fetched. Regular
// heartbeats are up to 3 s apart on idle connections, so that a change passed on
// through several processes would take longer than 9 s without announcements.
// Peers is not safe for concurrent use.
type Peers struct {
	cfg         PeersConfig
	rng         *rand.Rand
	peers       map[PeerID]*peer
	fetchPeer   PeerID
	fetchSentAt time.Time // when the outstanding fetch was sent; zero if none
	lastSource  PeerID    // peer that answered the last fetch
	// highest is the highest revision number reported by any peer so far.
	highest uint64
	// answeredFetchSentAt is when the last answered fetch was sent; zero after a
	// rejected answer or a lost connection.
	answeredFetchSentAt time.Time
}

// NewPeers returns Peers without any connections.
func NewPeers(cfg PeersConfig, rng *rand.Rand) *Peers {
	cfg.applyDefaults()
	return &Peers{cfg: cfg, rng: rng, peers: make(map[PeerID]*peer)}
}

// Add registers a peer. Leaf is true for connections between an entry and an
// agent, at both ends. An agent does not pass revisions on and is connected to
// several entries. Only the entry that it fetches from announces changes to it;
// the regular heartbeats of the others are the fallback if that entry fails.
// Peers that were not added count as non-leaf.
func (p *Peers) Add(id PeerID, leaf bool) { p.getOrAdd(id).leaf = leaf }

// MarkFetching records that a peer has fetched from this process.
func (p *Peers) MarkFetching(id PeerID) { p.getOrAdd(id).fetches = true }

// ObserveHead records the head from a peer's heartbeat. If Replica.ObserveHead
// returned ErrChainBroken for the head, call Reject instead.
func (p *Peers) ObserveHead(id PeerID, head Head) {
	p.getOrAdd(id).head = head
	p.highest = max(p.highest, head.Number)
}

// Reject excludes a peer from fetches until it reports its head again.
func (p *Peers) Reject(id PeerID) {
	if state := p.peers[id]; state != nil {
		state.head = Head{}
	}
	p.FetchAnswered(id)
	p.answeredFetchSentAt = time.Time{}
}

// Remove deletes a peer whose connection ended.
func (p *Peers) Remove(id PeerID) {
	delete(p.peers, id)
	p.FetchAnswered(id)
	p.answeredFetchSentAt = time.Time{}
}

// FetchAnswered completes the outstanding fetch if it was sent to the peer.
func (p *Peers) FetchAnswered(id PeerID) {
	if p.fetchPeer == id {
		p.answeredFetchSentAt = p.fetchSentAt
		p.fetchPeer, p.fetchSentAt = PeerID{}, time.Time{}
		p.lastSource = id
	}
}

// MarkAnnounced records that a heartbeat with the head was sent to a peer.
func (p *Peers) MarkAnnounced(id PeerID, head Head, now time.Time) {
	state := p.getOrAdd(id)
	state.announced, state.announcedAt = head, now
}

// AnnounceTargets returns the peers that hold a lower revision than head and are
// due for an announcement. The caller sends each a heartbeat and calls
// MarkAnnounced.
func (p *Peers) AnnounceTargets(head Head, now time.Time) []PeerID {
	var ids []PeerID
	for id, state := range p.peers {
		if state.leaf && !state.fetches {
			continue
		}
		interval := p.cfg.AnnounceInterval
		if state.leaf {
			interval = p.cfg.LeafInterval
		}
		if state.head.Number < head.Number && state.announced != head && now.Sub(state.announcedAt) >= interval {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, comparePeers)
	return ids
}

// StartFetch returns a peer to send a ConfigFetch to, if one holds a higher
// revision and no fetch is outstanding, and records the fetch as outstanding.
// Fetches over leaf connections are at least LeafInterval apart, so that one
// merged revision carries several changes of a burst.
func (p *Peers) StartFetch(head Head, now time.Time) (PeerID, bool) {
	if !p.fetchSentAt.IsZero() {
		if now.Sub(p.fetchSentAt) < p.cfg.FetchTimeout {
			return PeerID{}, false
		}
		if state := p.peers[p.fetchPeer]; state != nil {
			state.failedAt = now
		}
	}
	id, ok := p.bestSource(head, now)
	if ok && p.peers[id].leaf && !p.answeredFetchSentAt.IsZero() && now.Sub(p.answeredFetchSentAt) < p.cfg.LeafInterval {
		return PeerID{}, false
	}
	if ok {
		p.fetchPeer, p.fetchSentAt = id, now
	}
	return id, ok
}

// bestSource returns the peer with the highest head. Among equals it prefers the
// source of the last fetch, because that peer announces changes to this process,
// and otherwise picks one at random, so that not all processes fetch from the
// first one to announce. Peers whose last fetch timed out recently are used only
// if no other peer qualifies.
func (p *Peers) bestSource(head Head, now time.Time) (PeerID, bool) {
	if p.highest <= head.Number {
		return PeerID{}, false
	}
	var ids []PeerID
	var highest uint64
	for _, useFailed := range []bool{false, true} {
		for id, state := range p.peers {
			failedRecently := !state.failedAt.IsZero() && now.Sub(state.failedAt) < 3*p.cfg.FetchTimeout
			if failedRecently != useFailed || state.head.Number <= head.Number || state.head.Number < highest {
				continue
			}
			if state.head.Number > highest {
				ids, highest = ids[:0], state.head.Number
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
	if slices.Contains(ids, p.lastSource) {
		return p.lastSource, true
	}
	slices.SortFunc(ids, comparePeers)
	return ids[p.rng.Intn(len(ids))], true
}

// getOrAdd returns the state of a peer and creates it if necessary.
func (p *Peers) getOrAdd(id PeerID) *peer {
	state := p.peers[id]
	if state == nil {
		state = &peer{}
		p.peers[id] = state
	}
	return state
}

func comparePeers(a, b PeerID) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Generation, b.Generation))
}
