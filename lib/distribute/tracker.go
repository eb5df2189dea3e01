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

// maxPeersNamed bounds the addresses in Assign.Peers.
const maxPeersNamed = 16

// Tracker decides which agent of one failure domain takes which chunk of one
// version from where. All its state is soft: it is rebuilt from announcements.
type Tracker struct {
	cfg   TrackerConfig
	ranks []int // position of this domain in the policy, for each chunk
	order []int // distinct chunks by rank, at random among equals

	peers     map[string]*peer
	sorted    []*peer // by address; nil after a change
	grants    map[uint64]*grant
	overdue   map[uint64]*grant // expired, kept to recognise late results
	lastGrant uint64
	fresh     []int // scratch list of Schedule
	holders   []int // agents that hold each chunk
	inFlight  []int // active grants of each chunk

	originActive int
	originTime   average
	remoteTime   average
	peerTime     average
	remote       map[string]*remoteDomain // by address of the other tracker
	regions      map[model.Region]*remoteRegion
	lastRemote   time.Time // last chunk that came from another failure domain
	stats        Stats
}

// NewTracker returns a tracker without peers. Grant numbers start at a random
// number, so that numbers of an earlier tracker are not taken for its own.
func NewTracker(now time.Time, cfg TrackerConfig) *Tracker {
	cfg.applyDefaults()
	n := len(cfg.Manifest.Chunks)
	t := &Tracker{
		cfg:        cfg,
		ranks:      make([]int, n),
		peers:      make(map[string]*peer),
		grants:     make(map[uint64]*grant),
		overdue:    make(map[uint64]*grant),
		lastGrant:  uint64(cfg.Rand.Uint32()) << 20,
		holders:    make([]int, n),
		inFlight:   make([]int, n),
		remote:     make(map[string]*remoteDomain),
		regions:    make(map[model.Region]*remoteRegion),
		lastRemote: now,
	}
	// A chunk that occurs several times in the manifest is assigned once: the
	// agent that receives it marks all its positions.
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

// HandleAnnounce takes an agent's report. Assignments follow from Schedule.
func (t *Tracker) HandleAnnounce(now time.Time, from model.Identity, a *wire.Announce) AnnounceReport {
	p, ok := t.peers[from.Address]
	if ok && p.generation != from.Generation {
		t.RemoveAgent(from.Address) // another process under the same address
		ok = false
	}
	if !ok {
		p = newPeer(from.Address, from.Generation, len(t.holders))
		t.peers[from.Address] = p
		t.sorted = nil
	}
	p.seen = now
	var n AnnounceReport
	for _, f := range a.Failed {
		t.failed(now, p, f, &n)
	}
	t.update(now, p, a.Have, &n)
	// Grants that the agent had not seen when it announced count as well.
	p.window = a.Slots + a.Active
	return n
}

func (t *Tracker) failed(now time.Time, p *peer, f wire.GrantFailure, n *AnnounceReport) {
	g, ok := t.grants[f.Grant]
	if !ok || g.to != p {
		if f.Grant != 0 {
			n.OutdatedResults++
		}
		return
	}
	t.release(g)
	address := g.sourceAddress()
	switch {
	case f.Corrupt:
		n.CorruptSources = append(n.CorruptSources, address)
		if g.from != nil {
			g.from.sentCorrupt(now, t.cfg.AvoidFor)
			p.bad[g.chunk] = address
		}
	case f.Busy:
		p.block(now, address, t.cfg.RetryInterval)
	default:
		n.FailedSources = append(n.FailedSources, address)
		p.block(now, address, t.cfg.AvoidFor)
	}
}

// update compares the announced bitmap with the known one. A chunk that is no
// longer held was found damaged in the staging area.
func (t *Tracker) update(now time.Time, p *peer, have weights.Bitmap, n *AnnounceReport) {
	for i := range t.holders {
		was, is := p.have.Get(i), have.Get(i)
		switch {
		case is && !was:
			p.have.Set(i)
			p.held++
			t.holders[i]++
			t.arrived(now, p, i, n)
		case was && !is:
			p.have.Clear(i)
			p.held--
			t.holders[i]--
		}
	}
}

func (t *Tracker) arrived(now time.Time, p *peer, chunk int, n *AnnounceReport) {
	delete(p.bad, chunk)
	var late []*grant
	for _, number := range sortedKeys(t.overdue) {
		if g := t.overdue[number]; g.to == p && g.chunk == chunk {
			late = append(late, g)
			delete(t.overdue, number)
		}
	}
	active := slices.Clone(p.active[chunk])
	for _, number := range active {
		g := t.grants[number]
		t.release(g)
		t.delivered(now, g, len(active)+len(late) == 1)
	}
	if len(active) == 0 {
		for _, g := range late {
			n.OutdatedResults++
			t.delivered(now, g, len(late) == 1) // the next grants get more time
		}
	}
}

// delivered notes that a grant's chunk has arrived. With several grants for one
// chunk it is not known which of them delivered, so nothing is learnt.
func (t *Tracker) delivered(now time.Time, g *grant, only bool) {
	if !only {
		return
	}
	t.times(g).add(now.Sub(g.issued))
	delete(g.to.blocked, g.sourceAddress())
	if g.from != nil {
		g.from.delivered()
	}
	if g.remote != nil {
		t.lastRemote = now
	}
}

// RemoveAgent forgets an agent: grants to it are free at once, and so are the slots of
// grants that name it as source; their holders report the failure.
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

// Tick forgets agents that have not announced for PeerTimeout and returns their
// addresses. It is called a few times per second.
func (t *Tracker) Tick(now time.Time) []string {
	var lost []string
	for _, p := range t.sortedPeers() {
		if now.Sub(p.seen) > t.cfg.PeerTimeout {
			t.RemoveAgent(p.address)
			lost = append(lost, p.address)
		}
	}
	return lost
}

// Stats returns the counters.
func (t *Tracker) Stats() Stats { return t.stats }

// RetryInterval is the time after which an agent announces again at the latest.
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

// sortedKeys makes decisions independent of map order, so that a seed
// reproduces them.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
