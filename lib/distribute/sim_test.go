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

// sim runs Trackers and Downloaders in simulated time and injects faults. It
// records which instance really holds which chunks, so that tests can check
// what the Downloaders report.
type sim struct {
	now      time.Time
	start    time.Time
	rng      *rand.Rand
	versions []*weights.Manifest
	digests  []model.Digest
	domains  []*simDomain
	agents   []*simAgent
	policy   distribute.Policy

	corruptShare float64            // probability that a transfer arrives corrupt
	stalled      map[[2]string]bool // directed pairs of addresses between which nothing is delivered
	// throttleUntil is the time before which the origin refuses reads.
	throttleUntil time.Time

	originStarts int // chunk reads started from the origin
	originWaste  int // of originStarts: corrupt, cancelled, throttled or lost with a killed agent
	// peerFailures is the number of failed transfers from peers. After each of them
	// another source may be used, which is the origin if no other agent holds
	// the chunk.
	peerFailures int
}

type simDomain struct {
	location model.Location
	trackers []*simTracker
}

type simTracker struct {
	address  string
	down     bool
	byDigest map[model.Digest]*distribute.Tracker
}

type simAgent struct {
	identity     model.Identity
	domain       *simDomain
	downloader   *distribute.Downloader
	store        map[model.Digest]bool
	target       int
	active       map[uint64]*simFetch
	tracker      *simTracker
	inbox        []*wire.Assign
	lastSequence uint64 // last announcement that the tracker received
	switched     time.Time
	dead         bool
	done         bool
}

type simFetch struct {
	distribute.Fetch
	endsAt time.Time
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
			d.trackers = append(d.trackers, &simTracker{address: fmt.Sprintf("t%d-%d", i, t), byDigest: make(map[model.Digest]*distribute.Tracker)})
		}
		s.domains = append(s.domains, d)
		s.policy.Domains = append(s.policy.Domains, d.location)
		for a := range perDomain {
			address := fmt.Sprintf("a%d-%d", i, a)
			s.agents = append(s.agents, &simAgent{
				identity: model.Identity{Instance: model.InstanceID(address), Generation: 1, Location: d.location, Address: address},
				domain:   d, store: make(map[model.Digest]bool), active: make(map[uint64]*simFetch),
				downloader: distribute.NewDownloader(distribute.DownloaderConfig{Self: address, Rand: rand.New(rand.NewSource(seed + int64(len(s.agents)))), TrackerlessAgents: perDomain}),
			})
		}
	}
	s.policy.Copies = domains
	for _, a := range s.agents {
		for _, b := range s.agents {
			if a.domain == b.domain {
				a.downloader.AddPeers([]string{b.identity.Address})
			}
		}
		s.setTarget(a, 0)
	}
	return s
}

func (s *sim) setTarget(a *simAgent, version int) {
	m := s.versions[version]
	have := weights.NewBitmap(len(m.Chunks))
	for i, c := range m.Chunks {
		if a.store[c.Digest] {
			have.Set(i)
		}
	}
	a.target, a.done = version, false
	for _, id := range a.downloader.SetTarget(s.now, s.digests[version], m, have) {
		s.cancel(a, id)
	}
	s.connect(a, nil)
}

func (s *sim) cancel(a *simAgent, id uint64) {
	if f, ok := a.active[id]; ok {
		s.countFailure(f)
	}
	delete(a.active, id)
}

// countFailure counts a transfer that did not deliver its chunk.
func (s *sim) countFailure(f *simFetch) {
	if f.Source == distribute.Origin {
		s.originWaste++
	} else {
		s.peerFailures++
	}
}

// connect connects an agent to a tracker, or disconnects it if t is nil.
func (s *sim) connect(a *simAgent, t *simTracker) {
	if a.tracker != nil && a.tracker != t {
		for _, tr := range a.tracker.byDigest {
			tr.RemoveAgent(a.identity.Address)
		}
	}
	a.tracker, a.inbox, a.lastSequence, a.switched = t, nil, 0, s.now
	if t != nil {
		a.downloader.TrackerConnected(s.now)
	}
}

func (s *sim) tracker(t *simTracker, d *simDomain, version int) *distribute.Tracker {
	tr, ok := t.byDigest[s.digests[version]]
	if !ok {
		tr = distribute.NewTracker(s.now, distribute.TrackerConfig{
			Digest: s.digests[version], Manifest: s.versions[version], Location: d.location,
			Policy: s.policy, Rand: rand.New(rand.NewSource(s.rng.Int63())),
		})
		t.byDigest[s.digests[version]] = tr
	}
	return tr
}

// kill stops an agent for good. Chunks that no other agent of its failure
// domain holds are lost, so reading them again does not count against the
// budget.
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

func (s *sim) isStalled(from, to string) bool { return s.stalled[[2]string{from, to}] }
