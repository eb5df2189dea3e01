package distribute_test

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// simStep is the resolution of simulated time.
const simStep = 10 * time.Millisecond

// sim runs Trackers and Downloaders in simulated time with faults. It keeps the
// truth about which instance holds which bytes, against which tests check.
type sim struct {
	now      time.Time
	start    time.Time
	rng      *rand.Rand
	versions []*weights.Manifest
	digests  []model.Digest
	domains  []*simDomain
	agents   []*simAgent
	policy   distribute.Policy

	corrupt float64            // share of transfers that arrive corrupt
	stalled map[[2]string]bool // directed pairs that carry nothing
	// throttleUntil makes the origin refuse reads until then.
	throttleUntil time.Time

	originStarts int // chunk reads from the origin
	originWaste  int // of these: corrupt, cancelled, throttled or lost with a killed agent
	// reroutes counts failed transfers from peers. For each the design allows
	// another source, which is the origin if no other agent has the chunk.
	reroutes int
}

type simDomain struct {
	location model.Location
	trackers []*simTracker
}

type simTracker struct {
	address string
	down    bool
	byVer   map[model.Digest]*distribute.Tracker
}

type simAgent struct {
	identity model.Identity
	domain   *simDomain
	d        *distribute.Downloader
	store    map[model.Digest]bool
	target   int
	active   map[uint64]*simFetch
	tracker  *simTracker
	inbox    []*wire.Assign
	last     uint64 // last announcement that the tracker saw
	switched time.Time
	dead     bool
	done     bool
}

type simFetch struct {
	distribute.Fetch
	ends time.Time
}

func newSim(seed int64, domains, perDomain, trackers, chunks, shared int) *sim {
	s := &sim{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewSource(seed)), stalled: make(map[[2]string]bool),
	}
	s.start = s.now
	for v := range 2 {
		m := &weights.Manifest{Object: fmt.Sprintf("v%d", v)}
		for i := range chunks {
			name := fmt.Sprintf("%d/%d", v, i)
			if i < shared {
				name = fmt.Sprintf("shared/%d", i)
			}
			m.Chunks = append(m.Chunks, weights.Chunk{Digest: model.Sum([]byte(name)), Size: 1000})
		}
		digest, _ := m.Digest()
		s.versions, s.digests = append(s.versions, m), append(s.digests, digest)
	}
	for i := range domains {
		d := &simDomain{location: model.Location{Region: model.Region(fmt.Sprint("r", i)), FailureDomain: model.FailureDomain(fmt.Sprint("d", i))}}
		for t := range trackers {
			d.trackers = append(d.trackers, &simTracker{address: fmt.Sprintf("t%d-%d", i, t), byVer: make(map[model.Digest]*distribute.Tracker)})
		}
		s.domains = append(s.domains, d)
		s.policy.Domains = append(s.policy.Domains, d.location)
		for a := range perDomain {
			address := fmt.Sprintf("a%d-%d", i, a)
			s.agents = append(s.agents, &simAgent{
				identity: model.Identity{Instance: model.InstanceID(address), Generation: 1, Location: d.location, Address: address},
				domain:   d, store: make(map[model.Digest]bool), active: make(map[uint64]*simFetch),
				d: distribute.NewDownloader(distribute.DownloaderConfig{Self: address, Rand: rand.New(rand.NewSource(seed + int64(len(s.agents)))), TrackerlessAgents: perDomain}),
			})
		}
	}
	s.policy.Copies = domains
	for _, a := range s.agents {
		for _, b := range s.agents {
			if a.domain == b.domain {
				a.d.SetPeers([]string{b.identity.Address})
			}
		}
		s.want(a, 0)
	}
	return s
}

func (s *sim) want(a *simAgent, version int) {
	m := s.versions[version]
	have := weights.NewBitmap(len(m.Chunks))
	for i, c := range m.Chunks {
		if a.store[c.Digest] {
			have.Set(i)
		}
	}
	a.target, a.done = version, false
	for _, id := range a.d.SetTarget(s.now, s.digests[version], m, have) {
		s.cancel(a, id)
	}
	s.connect(a, nil)
}

func (s *sim) cancel(a *simAgent, id uint64) {
	if f, ok := a.active[id]; ok {
		s.failed(f)
	}
	delete(a.active, id)
}

// failed counts a transfer that did not deliver.
func (s *sim) failed(f *simFetch) {
	if f.Source == distribute.Origin {
		s.originWaste++
	} else {
		s.reroutes++
	}
}

// connect moves an agent to a tracker, or to none.
func (s *sim) connect(a *simAgent, t *simTracker) {
	if a.tracker != nil && a.tracker != t {
		for _, tr := range a.tracker.byVer {
			tr.RemoveAgent(a.identity.Address)
		}
	}
	a.tracker, a.inbox, a.last, a.switched = t, nil, 0, s.now
	if t != nil {
		a.d.TrackerConnected(s.now)
	}
}

func (s *sim) tracker(t *simTracker, d *simDomain, version int) *distribute.Tracker {
	tr, ok := t.byVer[s.digests[version]]
	if !ok {
		tr = distribute.NewTracker(s.now, distribute.TrackerConfig{
			Digest: s.digests[version], Manifest: s.versions[version], Location: d.location,
			Policy: s.policy, Rand: rand.New(rand.NewSource(s.rng.Int63())),
		})
		t.byVer[s.digests[version]] = tr
	}
	return tr
}

// kill ends an agent. Chunks that no other agent holds are lost with it, so
// reading them again is no waste of the budget.
func (s *sim) kill(a *simAgent) {
	for id := range a.active {
		s.cancel(a, id)
	}
	a.dead = true
	s.connect(a, nil)
	for digest := range a.store {
		held := false
		for _, b := range s.agents {
			held = held || b != a && !b.dead && b.domain == a.domain && b.store[digest]
		}
		if !held {
			s.originWaste++
		}
	}
}

func (s *sim) cut(from, to string) bool { return s.stalled[[2]string{from, to}] }
