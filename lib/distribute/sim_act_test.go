package distribute_test

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// act does what the Downloader decides, and checks it against the truth.
func (s *sim) act(a *simAgent) error {
	next := a.d.Next(s.now)
	for _, id := range next.Cancel {
		s.cancel(a, id)
	}
	for _, f := range next.Start {
		if f.Source == distribute.Origin {
			s.originStarts++
		}
		a.active[f.ID] = &simFetch{Fetch: f, ends: s.now.Add(simStep * time.Duration(2+s.rng.Intn(6)))}
	}
	for _, address := range next.QueryPeers {
		p := s.byAddress(address)
		if p != nil && !p.dead && !s.cut(address, a.identity.Address) && !s.cut(a.identity.Address, address) {
			have := weights.NewBitmap(len(s.versions[a.target].Chunks))
			for i, c := range s.versions[a.target].Chunks {
				if p.store[c.Digest] {
					have.Set(i)
				}
			}
			a.d.SetPeerBitmap(address, s.digests[a.target], have)
		}
	}
	if next.Announce != nil && a.tracker != nil && !a.tracker.down && !s.cut(a.identity.Address, a.tracker.address) {
		tr := s.tracker(a.tracker, a.domain, a.target)
		tr.HandleAnnounce(s.now, a.identity, next.Announce)
		a.last = next.Announce.Sequence
		s.deliver(a, &wire.Assign{Manifest: s.digests[a.target], RetryMillis: 250, Peers: tr.PeersFor(a.identity.Address)})
		s.schedule(a.domain, a.tracker, tr)
	}
	if next.Done {
		for i, c := range s.versions[a.target].Chunks {
			if !a.store[c.Digest] {
				return fmt.Errorf("%s reports version %d complete without chunk %d", a.identity.Address, a.target, i)
			}
		}
		a.done = true
	}
	return nil
}

func (s *sim) deliver(a *simAgent, m *wire.Assign) {
	if a.dead || a.tracker == nil || s.cut(a.tracker.address, a.identity.Address) {
		return
	}
	m.Sequence = a.last
	a.inbox = append(a.inbox, m)
}

func (s *sim) schedule(d *simDomain, t *simTracker, tr *distribute.Tracker) {
	for _, m := range tr.Schedule(s.now) {
		if a := s.byAddress(m.Address); a.tracker == t {
			s.deliver(a, m.Assign)
		}
	}
}

// trackerTick expires state and exchanges summaries between live trackers.
func (s *sim) trackerTick() {
	for _, d := range s.domains {
		for _, t := range d.trackers {
			if t.down {
				t.byVer = make(map[model.Digest]*distribute.Tracker)
				continue
			}
			for v, digest := range s.digests {
				tr, ok := t.byVer[digest]
				if !ok {
					continue
				}
				tr.Tick(s.now)
				s.schedule(d, t, tr)
				summary := tr.Summarize()
				for _, other := range s.domains {
					for _, o := range other.trackers {
						if o != t && !o.down && o.byVer[s.digests[v]] != nil {
							o.byVer[digest].UpdateRemote(s.now, t.address, summary)
						}
					}
				}
			}
		}
	}
}
