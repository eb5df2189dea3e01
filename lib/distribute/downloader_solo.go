package distribute

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

const (
	// maxKnownPeers bounds the peers that an agent without a tracker asks.
	maxKnownPeers = 64
	// askEvery is the time between questions to one peer for its bitmap.
	askEvery = 500 * time.Millisecond
	// asksAtOnce bounds the peers that are asked in one step.
	asksAtOnce = 4
	// badFor is how long another source is preferred for a chunk that arrived
	// corrupt from a peer.
	badFor = 5 * time.Second
	// peerBackoff is the wait before a peer that failed is used again. It doubles
	// with each failure in a row, up to maxPeerBackoff: a path that stalls for good
	// would otherwise hold a place of the window half of the time.
	peerBackoff    = time.Second
	maxPeerBackoff = 32 * time.Second
	// maxBackoffShift keeps the doubling from overflowing.
	maxBackoffShift = 5
)

// soloPeer is what an agent without a tracker knows about a peer.
type soloPeer struct {
	have  weights.Bitmap
	asked time.Time
	until time.Time // not used before
	// failures counts the failed fetches since the last delivered one.
	failures int
	// bad holds chunks that arrived corrupt, until they may be tried again.
	bad map[model.Digest]time.Time
}

// soloState drives a transfer without a tracker.
type soloState struct {
	peers map[string]*soloPeer
	since time.Time
	// jitter is drawn per agent, so that agents with close ranks differ.
	jitter  time.Duration
	drawn   bool
	credit  float64 // bytes that may be taken from the origin now, kept by reset
	updated time.Time
}

func newSoloState() soloState { return soloState{peers: make(map[string]*soloPeer)} }

func (s *soloState) reset(now time.Time) {
	s.since, s.drawn = now, false
	for _, p := range s.peers {
		p.have = nil // bitmaps are of the old version
	}
}

func (s *soloState) addPeers(addresses []string, self string) {
	for _, a := range addresses {
		if _, ok := s.peers[a]; !ok && a != self && len(s.peers) < maxKnownPeers {
			s.peers[a] = &soloPeer{bad: make(map[model.Digest]time.Time)}
		}
	}
}

func (s *soloState) failed(now time.Time, f *fetching, r Result) {
	p, ok := s.peers[f.Source]
	if !ok {
		return
	}
	switch r {
	case Corrupt:
		p.bad[f.Chunk.Digest] = now.Add(badFor)
	case Busy:
		p.until = now.Add(peerBackoff / 4)
	default:
		p.until = now.Add(min(peerBackoff<<min(p.failures, maxBackoffShift), maxPeerBackoff))
		p.failures++
	}
}

func (s *soloState) delivered(source string) {
	if p, ok := s.peers[source]; ok {
		p.failures = 0
	}
}

// SetPeers names peers for use without a tracker.
func (d *Downloader) SetPeers(addresses []string) { d.solo.addPeers(addresses, d.cfg.Self) }

// SetPeerBitmap takes the bitmap of a peer for a version, asked for by AskPeers.
func (d *Downloader) SetPeerBitmap(address string, version model.Digest, have weights.Bitmap) {
	if p, ok := d.solo.peers[address]; ok && version == d.digest {
		p.have = have
	}
}

// startSolo fills the window from peers, and from the origin for chunks whose
// turn it is in the rendezvous order and while the budget lasts.
func (d *Downloader) startSolo(now time.Time, a *Actions) {
	s := &d.solo
	if !s.drawn {
		s.drawn = true
		s.jitter = time.Duration(d.cfg.Rand.Int63n(int64(d.cfg.OriginRankDelay)))
	}
	if s.updated.IsZero() {
		s.credit, s.updated = d.soloShare(), now
	}
	d.askPeers(now, a)
	order := d.cfg.Rand.Perm(len(d.manifest.Chunks))
	names := append(sortedKeys(s.peers), d.cfg.Self)
	for _, i := range order {
		if len(d.active) >= d.cfg.Window {
			return
		}
		c := d.manifest.Chunks[i]
		if d.held[c.Digest] || d.byChunk[c.Digest] > 0 {
			continue
		}
		if peer, held := d.soloPeerFor(now, i, c.Digest); peer != "" {
			a.Start = append(a.Start, d.start(now, c, peer, 0))
		} else if !held && !d.tracked && d.soloOrigin(now, c, names) {
			a.Start = append(a.Start, d.start(now, c, Origin, 0))
		}
	}
}

// shuffledPeers returns the known peers in random order.
func (d *Downloader) shuffledPeers() []string {
	names := sortedKeys(d.solo.peers)
	d.cfg.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (d *Downloader) askPeers(now time.Time, a *Actions) {
	for _, name := range d.shuffledPeers() {
		p := d.solo.peers[name]
		if len(a.QueryPeers) >= asksAtOnce {
			return
		}
		if now.Sub(p.asked) >= askEvery {
			p.asked = now
			a.QueryPeers = append(a.QueryPeers, name)
		}
	}
}

// soloPeerFor returns a peer that holds a chunk and may be used now, the one with
// the fewest transfers to this agent and a random one among equals: with a fixed
// order all agents without a tracker would use the same few peers. Held says
// that some peer has a good copy, so that the origin isn't needed.
func (d *Downloader) soloPeerFor(now time.Time, index int, digest model.Digest) (address string, held bool) {
	busy := make(map[string]int)
	for _, f := range d.active {
		busy[f.Source]++
	}
	best := -1
	for _, name := range d.shuffledPeers() {
		p := d.solo.peers[name]
		if !p.have.Get(index) || now.Before(p.bad[digest]) {
			continue
		}
		if now.Sub(p.until) < d.cfg.OriginRankDelay {
			held = true
		}
		if now.Before(p.until) {
			continue
		}
		held = true
		if best < 0 || busy[name] < best {
			address, best = name, busy[name]
		}
	}
	return address, held
}

// soloShare is this instance's share of the origin budget in bytes.
func (d *Downloader) soloShare() float64 {
	agents := max(len(d.solo.peers)+1, d.cfg.TrackerlessAgents)
	return float64(d.manifest.TotalSize()) * d.cfg.TrackerlessCopies / float64(agents)
}

// soloOrigin reports whether a chunk may be taken from the origin now, and
// takes its bytes from the budget.
func (d *Downloader) soloOrigin(now time.Time, c weights.Chunk, names []string) bool {
	s := &d.solo
	waited := now.Sub(s.since) - s.jitter
	if now.Before(d.originUntil) || waited < d.cfg.OriginRankDelay {
		return false
	}
	share := d.soloShare()
	s.credit = min(s.credit+share*now.Sub(s.updated).Seconds()/d.cfg.TrackerlessRefillTime.Seconds(), max(share, float64(c.Size)))
	s.updated = now
	if s.credit < float64(c.Size) {
		return false
	}
	rank := slices.Index(RendezvousOrder(c.Digest, names), d.cfg.Self)
	if waited < time.Duration(rank+1)*d.cfg.OriginRankDelay {
		return false
	}
	s.credit -= float64(c.Size)
	return true
}
