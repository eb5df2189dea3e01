package distribute

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// maxAssignPeers is the maximum number of addresses in Assign.Peers.
const maxAssignPeers = 16

// Tracker decides which agent of one failure domain fetches which chunk of one
// version from which source. Its state is soft: it can be rebuilt from
// announcements.
type Tracker struct {
	cfg   TrackerConfig
	ranks []int // rank of this failure domain in the policy, per chunk
	order []int // distinct chunks by rank, in random order within a rank

	peers     map[string]*peer
	sorted    []*peer // by address; nil after a change
	grants    map[uint64]*grant
	expired   map[uint64]*grant // kept for some time to recognise late results
	lastGrant uint64
	absent    []int // buffer of Schedule; see listAbsent
	holders   []int // number of agents that hold each chunk
	inFlight  []int // number of active grants for each chunk

	activeOriginGrants int // active grants that name the origin
	originTime         movingAverage
	remoteTime         movingAverage
	peerTime           movingAverage
	remote             map[string]*remoteTracker // by address of the other tracker
	regions            map[model.Region]*remoteRegion
	lastRemote         time.Time // when the last chunk arrived from another failure domain
	stats              Stats
}

// NewTracker returns a Tracker without agents. Grant numbers start at a random
// value, so that numbers issued by an earlier tracker are not mistaken for its
// own.
func NewTracker(now time.Time, cfg TrackerConfig) *Tracker {
	cfg.applyDefaults()
	n := len(cfg.Manifest.Chunks)
	t := &Tracker{
		cfg:        cfg,
		ranks:      make([]int, n),
		peers:      make(map[string]*peer),
		grants:     make(map[uint64]*grant),
		expired:    make(map[uint64]*grant),
		lastGrant:  uint64(cfg.Rand.Uint32()) << 20,
		holders:    make([]int, n),
		inFlight:   make([]int, n),
		remote:     make(map[string]*remoteTracker),
		regions:    make(map[model.Region]*remoteRegion),
		lastRemote: now,
	}
	// A chunk that occurs several times in the manifest is assigned once: the
	// agent that receives it marks all of its positions.
	seen := make(map[model.Digest]bool, n)
	for i, c := range cfg.Manifest.Chunks {
		if seen[c.Digest] {
			continue
		}
		seen[c.Digest] = true
		t.ranks[i] = cfg.Policy.Rank(c.Digest, cfg.Location.FailureDomain)
		t.order = append(t.order, i)
	}
	cfg.Rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	slices.SortStableFunc(t.order, func(a, b int) int { return cmp.Compare(t.ranks[a], t.ranks[b]) })
	return t
}

// HandleAnnounce updates the state of an agent from its announcement. Call
// Schedule afterwards to obtain new assignments.
func (t *Tracker) HandleAnnounce(now time.Time, from model.Identity, a *wire.Announce) AnnounceReport {
	p, ok := t.peers[from.Address]
	if ok && p.generation != from.Generation {
		t.RemoveAgent(from.Address) // another process at the same address
		ok = false
	}
	if !ok {
		p = newPeer(from.Address, from.Generation, len(t.holders))
		t.peers[from.Address] = p
		t.sorted = nil
	}
	p.lastSeen = now
	var report AnnounceReport
	for _, f := range a.FailedGrants {
		t.grantFailed(now, p, f, &report)
	}
	t.updateBitmap(now, p, a.ChunkBitmap, &report)
	// RequestedAssignments doesn't include the assignments that the agent had
	// received when it sent the announcement. Grants issued while the
	// announcement was in flight also count against the window.
	p.window = a.RequestedAssignments + a.ActiveAssignments
	return report
}

func (t *Tracker) grantFailed(now time.Time, p *peer, f wire.GrantFailure, report *AnnounceReport) {
	g, ok := t.grants[f.Grant]
	if !ok || g.to != p {
		if f.Grant != 0 {
			report.OutdatedResults++
		}
		return
	}
	t.release(g)
	sourceAddress := g.sourceAddress()
	switch {
	case f.Corrupt:
		report.CorruptSources = append(report.CorruptSources, sourceAddress)
		if g.from != nil {
			g.from.recordCorrupt(now, t.cfg.AvoidFor)
			p.corruptFrom[g.chunk] = sourceAddress
		}
	case f.Busy:
		p.blockSource(now, sourceAddress, t.cfg.RetryInterval)
	default:
		report.FailedSources = append(report.FailedSources, sourceAddress)
		p.blockSource(now, sourceAddress, t.cfg.AvoidFor)
	}
}

// updateBitmap applies the difference between the announced and the known
// bitmap. A chunk that is no longer held was found corrupt in the staging area.
func (t *Tracker) updateBitmap(now time.Time, p *peer, have weights.Bitmap, report *AnnounceReport) {
	for i := range t.holders {
		before, after := p.have.Get(i), have.Get(i)
		switch {
		case after && !before:
			p.have.Set(i)
			p.heldCount++
			t.holders[i]++
			t.chunkArrived(now, p, i, report)
		case before && !after:
			p.have.Clear(i)
			p.heldCount--
			t.holders[i]--
		}
	}
}

func (t *Tracker) chunkArrived(now time.Time, p *peer, chunk int, report *AnnounceReport) {
	delete(p.corruptFrom, chunk)
	var late []*grant
	for _, number := range sortedKeys(t.expired) {
		if g := t.expired[number]; g.to == p && g.chunk == chunk {
			late = append(late, g)
			delete(t.expired, number)
		}
	}
	active := slices.Clone(p.active[chunk])
	for _, number := range active {
		g := t.grants[number]
		t.release(g)
		t.grantDelivered(now, g, len(active)+len(late) == 1)
	}
	if len(active) == 0 {
		for _, g := range late {
			report.OutdatedResults++
			t.grantDelivered(now, g, len(late) == 1) // so that later grants get more time
		}
	}
}

// grantDelivered records that the chunk of a grant has arrived. If there were
// several grants for the chunk (only is false), it is unknown which of them
// delivered it, so neither times nor source state are updated.
func (t *Tracker) grantDelivered(now time.Time, g *grant, only bool) {
	if !only {
		return
	}
	t.transferTime(g).add(now.Sub(g.issued))
	delete(g.to.blocked, g.sourceAddress())
	if g.from != nil {
		g.from.recordDelivery()
	}
	if g.remote != nil {
		t.lastRemote = now
	}
}

// RemoveAgent removes an agent and releases the grants issued to it. Grants
// that name it as source stay active until the agents that hold them report the
// failure or they expire.
func (t *Tracker) RemoveAgent(address string) {
	p, ok := t.peers[address]
	if !ok {
		return
	}
	delete(t.peers, address)
	t.sorted = nil
	for i := range t.holders {
		if p.have.Get(i) {
			t.holders[i]--
		}
	}
	for _, g := range t.grants {
		if g.to == p {
			t.release(g)
		}
	}
}

// Tick removes agents that have not announced for PeerTimeout and returns their
// addresses. It should be called several times per second.
func (t *Tracker) Tick(now time.Time) []string {
	var lost []string
	for _, p := range t.sortedPeers() {
		if now.Sub(p.lastSeen) > t.cfg.PeerTimeout {
			t.RemoveAgent(p.address)
			lost = append(lost, p.address)
		}
	}
	return lost
}

// Stats returns the cumulative counters.
func (t *Tracker) Stats() Stats { return t.stats }

// RetryInterval returns the maximum time between two announcements of an agent.
func (t *Tracker) RetryInterval() time.Duration { return t.cfg.RetryInterval }

// PeerCount returns the number of known agents.
func (t *Tracker) PeerCount() int { return len(t.peers) }

func (t *Tracker) sortedPeers() []*peer {
	if t.sorted == nil {
		t.sorted = make([]*peer, 0, len(t.peers))
		for _, address := range sortedKeys(t.peers) {
			t.sorted = append(t.sorted, t.peers[address])
		}
	}
	return t.sorted
}

// sortedKeys returns the keys in sorted order. Iterating over them makes
// decisions independent of map order, so that a seed reproduces them.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
