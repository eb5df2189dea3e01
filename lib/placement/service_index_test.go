package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
	"github.com/auburnbend/auburnbend/lib/serving"
)

// fleetModel applies random events to a picker and its directory.
type fleetModel struct {
	t         *rapid.T
	p         *Picker
	directory *directory.Directory
	now       time.Time
	started   int64
}

var modelDomains = map[string]string{"a": "n", "b": "n", "c": "s", "d": "w"}

func newFleetModel(t *rapid.T) *fleetModel {
	d := directory.New()
	p := New(Config{Domain: "a", Regions: modelDomains}, d, rand.New(rand.NewPCG(1, 1)))
	return &fleetModel{t: t, p: p, directory: d, now: time.Unix(1000, 0)}
}

func (m *fleetModel) listing(id string) *directory.Server {
	s := &directory.Server{
		ID: id, Service: rapid.SampledFrom([]string{"drafts", "drafts", "drafts", "desk"}).Draw(m.t, "service"), Address: id + ":1", StartUnixMilli: m.started,
		Domain: rapid.SampledFrom([]string{"a", "b", "c", "c", "d", "d", "elsewhere"}).Draw(m.t, "domain"), Slots: 2,
		Weights: map[string]directory.Weights{"m": {Version: rapid.IntRange(1, 2).Draw(m.t, "version"), Complete: true}},
	}
	s.Draining = rapid.IntRange(0, 9).Draw(m.t, "draining") == 0
	return s
}

func (m *fleetModel) event() {
	id := fmt.Sprint("s", rapid.IntRange(0, 11).Draw(m.t, "server"))
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 10, 150, 400, 3000}).Draw(m.t, "ms")) * time.Millisecond)
	var key directory.Key
	m.directory.ForEach(func(s *directory.Server) {
		if s.ID == id {
			key = s.Key()
		}
	})
	switch kind := rapid.IntRange(0, 11).Draw(m.t, "event"); {
	case key.ID == "" || kind == 0:
		if kind == 1 {
			m.started++
		}
		listing := m.listing(id)
		m.directory.Put(listing)
		if rapid.IntRange(0, 7).Draw(m.t, "verified at once") > 0 {
			m.p.RecordVerified(listing.Key(), VerifiedWeights{Model: "m", Version: listing.Weights["m"].Version, Until: m.now.Add(time.Hour)})
		}
	case kind == 1:
		m.directory.Remove(id, false, m.now)
		m.p.Prune(m.now)
	case kind == 2:
		m.p.Pause(key, m.now.Add(time.Second), m.now)
	case kind == 3:
		m.p.eject(m.p.state(m.directory.Get(key)), Failed, m.now)
	case kind == 4:
		m.p.SetEvacuated(rapid.SampledFrom([][]string{nil, {"a"}, {"c"}, {"a", "b"}}).Draw(m.t, "evacuated"), m.now)
	case kind == 5:
		m.p.MergeLimit(ServerLimit{key, ratelimit.Limit{PerSecond: float64(rapid.IntRange(0, 2).Draw(m.t, "limit")), StatedAt: m.now}}, m.now)
	case kind == 6:
		m.p.UpdateCounts(key, 1, 0, m.now)
	case kind == 7:
		updated := *m.directory.Get(key)
		updated.Weights = map[string]directory.Weights{"m": {Version: 2, Complete: true}}
		m.directory.Update(&updated)
	default:
		m.p.Report(key, Load{Running: rapid.IntRange(0, 3).Draw(m.t, "running"), Closed: rapid.IntRange(0, 4).Draw(m.t, "closed") == 0}, m.now)
		m.p.RecordVerified(key, VerifiedWeights{Model: "m", Version: rapid.SampledFrom([]int{1, 2, 2, 2}).Draw(m.t, "verified"), Until: m.now.Add(time.Hour)})
	}
}

func (m *fleetModel) request() Request {
	r := Request{
		Service: "drafts", Engine: &serving.Engine{Slots: 2, StepTime: time.Millisecond, PrefillTokensPerSecond: 1000}, Model: "m", PromptTokens: 10,
		MinVersion: rapid.IntRange(0, 2).Draw(m.t, "min version"), Entry: rapid.SampledFrom([]string{"", "other"}).Draw(m.t, "entry"),
	}
	if rapid.IntRange(0, 3).Draw(m.t, "homes") == 0 {
		r.Homes = serving.Homes{Restricted: true, Regions: []string{"s"}}
	}
	if rapid.IntRange(0, 3).Draw(m.t, "excludes") == 0 {
		r.Exclude = []directory.Key{{ID: "s1"}}
	}
	return r
}

// seed makes the next random choices repeatable.
func (m *fleetModel) seed() { m.p.rng = rand.New(rand.NewPCG(7, 7)) }

// TestNearCandidatesAreThoseOfAllServers guards against requests that are placed on other
// servers, or refused, because the picker looks at a part of the fleet only.
func TestNearCandidatesAreThoseOfAllServers(t *testing.T) {
	compared := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		for range rapid.IntRange(1, 100).Draw(t, "events") {
			m.event()
			req := m.request()
			held := m.p.heldBack(m.now)
			m.seed()
			near, ok := m.p.nearCandidates(&req, held, m.now)
			if !ok {
				continue
			}
			compared++
			m.seed()
			all, refusal := m.p.allCandidates(&req, held, m.now)
			if refusal != nil || !slices.Equal(near.compared, all.compared) || !slices.Equal(near.remote, all.remote) {
				t.Fatalf("near candidates %v, of all %v, refusal %v", near, all, refusal)
			}
		}
	})
	if compared < 100 {
		t.Errorf("%d requests compared", compared)
	}
}

// TestIndexFollowsTheDirectory guards against listings and states that are no longer those
// of the directory.
func TestIndexFollowsTheDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.event()
			for _, service := range []string{"drafts", "desk"} {
				x := m.p.index(service)
				listed := m.directory.ByService(service)
				if len(x.all) != len(listed) {
					t.Fatalf("%d servers, %d listed", len(x.all), len(listed))
				}
				near := 0
				for i, s := range x.all {
					if s.listing != listed[i] || m.p.servers[listed[i].Key()] != s {
						t.Fatalf("server %d is not the listed one", i)
					}
					if m.p.isLocal(s) || !s.reportedAt.IsZero() {
						near++
					}
				}
				if len(x.near) != near {
					t.Fatalf("%d near servers, want %d", len(x.near), near)
				}
			}
		}
	})
}

// TestAvoidedAndLimitsMissNoServer guards against an entry that does not tell the placing
// one of an ejection, a pause or a limit, because it looks for none.
func TestAvoidedAndLimitsMissNoServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m.event()
			var ejected, paused, limited int
			listed := m.directory.ByService("drafts")
			for _, listing := range listed {
				s := m.p.servers[listing.Key()]
				if s == nil {
					continue
				}
				if s.paused(m.now) {
					paused++
				} else if s.ejected(m.now) {
					ejected++
				}
				if s.rateLimited() {
					limited++
				}
			}
			if float64(ejected) > m.p.config.MaxEjectedShare*float64(len(listed)) {
				ejected = 0
			}
			if got := len(m.p.Avoided("drafts", m.now)); got != min(paused, maxPaused)+min(ejected, maxAvoided) {
				t.Fatalf("%d avoided, %d paused, %d ejected", got, paused, ejected)
			}
			if got := len(m.p.Limits("drafts")); got != limited {
				t.Fatalf("%d limits, want %d", got, limited)
			}
		}
	})
}
