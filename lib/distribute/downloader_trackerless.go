package distribute

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
)

const (
	// maxKnownPeers is the maximum number of peers that are remembered for
	// trackerless mode.
	maxKnownPeers = 64
	// peerQueryInterval is the time between two bitmap queries to the same
	// peer.
	peerQueryInterval = 500 * time.Millisecond
	// maxPeerQueries is the maximum number of peers queried in one call of
	// Next.
	maxPeerQueries = 4
	// corruptAvoidTime is how long a chunk is not fetched again from a peer
	// that sent it corrupt.
	corruptAvoidTime = 5 * time.Second
	// minPeerBackoff is the wait after a failed fetch before the peer is used
	// again. It doubles with each consecutive failure up to maxPeerBackoff: a
	// permanently stalled path would otherwise occupy a window slot half of the
	// time.
	minPeerBackoff = time.Second
	maxPeerBackoff = 32 * time.Second
	// maxBackoffShift limits the doubling to avoid overflow.
	maxBackoffShift = 5
)

// trackerlessPeer is the state of a peer for trackerless mode.
type trackerlessPeer struct {
	have         weights.Bitmap
	queriedAt    time.Time
	blockedUntil time.Time // not used before this time
	// failures is the number of failed fetches since the last delivered one.
	failures int
	// corruptUntil maps chunks that arrived corrupt from the peer to the time
	// at which they may be fetched from it again.
	corruptUntil map[model.Digest]time.Time
}

// trackerlessState is the state of a transfer in trackerless mode.
type trackerlessState struct {
	peers map[string]*trackerlessPeer
	since time.Time
	// jitter is chosen per agent, so that agents of adjacent ranks do not start
	// origin fetches at the same time.
	jitter        time.Duration
	jitterDrawn   bool
	originCredit  float64 // bytes that may be fetched from the origin now; kept by reset
	creditUpdated time.Time
}

func newTrackerlessState() trackerlessState {
	return trackerlessState{peers: make(map[string]*trackerlessPeer)}
}

func (s *trackerlessState) reset(now time.Time) {
	s.since, s.jitterDrawn = now, false
	for _, p := range s.peers {
		p.have = nil // bitmaps refer to the previous version
	}
}

func (s *trackerlessState) addPeers(addresses []string, self string) {
	for _, a := range addresses {
		if _, ok := s.peers[a]; !ok && a != self && len(s.peers) < maxKnownPeers {
			s.peers[a] = &trackerlessPeer{corruptUntil: make(map[model.Digest]time.Time)}
		}
	}
}

func (s *trackerlessState) fetchFailed(now time.Time, f *activeFetch, r Result) {
	p, ok := s.peers[f.Source]
	if !ok {
		return
	}
	switch r {
	case Corrupt:
		p.corruptUntil[f.Chunk.Digest] = now.Add(corruptAvoidTime)
	case Busy:
		p.blockedUntil = now.Add(minPeerBackoff / 4)
	default:
		p.blockedUntil = now.Add(min(minPeerBackoff<<min(p.failures, maxBackoffShift), maxPeerBackoff))
		p.failures++
	}
}

func (s *trackerlessState) fetchDelivered(source string) {
	if p, ok := s.peers[source]; ok {
		p.failures = 0
	}
}

// AddPeers adds peers to the ones known for trackerless mode.
func (d *Downloader) AddPeers(addresses []string) { d.trackerless.addPeers(addresses, d.cfg.Self) }

// SetPeerBitmap records a peer's answer to a query of QueryPeers. An answer for
// another version than the target is ignored.
func (d *Downloader) SetPeerBitmap(address string, version model.Digest, have weights.Bitmap) {
	if p, ok := d.trackerless.peers[address]; ok && version == d.digest {
		p.have = have
	}
}

// startTrackerless fills the window with fetches from peers, and with fetches
// from the origin for chunks whose turn it is in the rendezvous order, as far
// as the origin budget allows.
func (d *Downloader) startTrackerless(now time.Time, a *Actions) {
	s := &d.trackerless
	if !s.jitterDrawn {
		s.jitterDrawn = true
		s.jitter = time.Duration(d.cfg.Rand.Int63n(int64(d.cfg.OriginRankDelay)))
	}
	if s.creditUpdated.IsZero() {
		s.originCredit, s.creditUpdated = d.originBudget(), now
	}
	d.queryPeers(now, a)
	order := d.cfg.Rand.Perm(len(d.manifest.Chunks))
	names := append(sortedKeys(s.peers), d.cfg.Self)
	for _, i := range order {
		if len(d.active) >= d.cfg.Window {
			return
		}
		c := d.manifest.Chunks[i]
		if d.held[c.Digest] || d.inFlight[c.Digest] > 0 {
			continue
		}
		if peer, available := d.choosePeer(now, i, c.Digest); peer != "" {
			a.Start = append(a.Start, d.startFetch(now, c, peer, 0))
		} else if !available && !d.hasTracker && d.reserveOrigin(now, c, names) {
			a.Start = append(a.Start, d.startFetch(now, c, Origin, 0))
		}
	}
}

// shuffledPeers returns the addresses of the known peers in random order.
func (d *Downloader) shuffledPeers() []string {
	names := sortedKeys(d.trackerless.peers)
	d.cfg.Rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (d *Downloader) queryPeers(now time.Time, a *Actions) {
	for _, name := range d.shuffledPeers() {
		p := d.trackerless.peers[name]
		if len(a.QueryPeers) >= maxPeerQueries {
			return
		}
		if now.Sub(p.queriedAt) >= peerQueryInterval {
			p.queriedAt = now
			a.QueryPeers = append(a.QueryPeers, name)
		}
	}
}

// choosePeer returns a usable peer that holds a chunk, or "" if there is none.
// It prefers the peer with the fewest active transfers to this agent and
// chooses randomly among equals: with a fixed order all agents without a
// tracker would use the same few peers. available reports whether some peer can
// deliver the chunk now or after a short wait, so that the origin is not needed.
func (d *Downloader) choosePeer(now time.Time, index int, digest model.Digest) (address string, available bool) {
	transfers := make(map[string]int)
	for _, f := range d.active {
		transfers[f.Source]++
	}
	fewest := -1
	for _, name := range d.shuffledPeers() {
		p := d.trackerless.peers[name]
		if !p.have.Get(index) || now.Before(p.corruptUntil[digest]) {
			continue
		}
		if p.blockedUntil.Sub(now) < d.cfg.OriginRankDelay {
			available = true
		}
		if now.Before(p.blockedUntil) {
			continue
		}
		available = true
		if fewest < 0 || transfers[name] < fewest {
			address, fewest = name, transfers[name]
		}
	}
	return address, available
}

// originBudget returns this instance's share of the trackerless origin budget
// in bytes.
func (d *Downloader) originBudget() float64 {
	agents := max(len(d.trackerless.peers)+1, d.cfg.TrackerlessAgents)
	return float64(d.manifest.TotalSize()) * d.cfg.TrackerlessCopies / float64(agents)
}

// reserveOrigin reports whether a chunk may be fetched from the origin now. If
// so, it deducts the chunk's size from the budget.
func (d *Downloader) reserveOrigin(now time.Time, c weights.Chunk, names []string) bool {
	s := &d.trackerless
	waited := now.Sub(s.since) - s.jitter
	if now.Before(d.originBlockedUntil) || waited < d.cfg.OriginRankDelay {
		return false
	}
	budget := d.originBudget()
	s.originCredit = min(s.originCredit+budget*now.Sub(s.creditUpdated).Seconds()/d.cfg.TrackerlessRefillTime.Seconds(), max(budget, float64(c.Size)))
	s.creditUpdated = now
	if s.originCredit < float64(c.Size) {
		return false
	}
	rank := slices.Index(RendezvousOrder(c.Digest, names), d.cfg.Self)
	if waited < time.Duration(rank+1)*d.cfg.OriginRankDelay {
		return false
	}
	s.originCredit -= float64(c.Size)
	return true
}
