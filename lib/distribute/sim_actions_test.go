package distribute_test

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// applyActions executes the actions of an agent's Downloader. It returns an
// error if the agent reports completion with a chunk missing.
func (s *sim) applyActions(a *simAgent) error {
	next := a.downloader.Next(s.now)
	for _, id := range next.Cancel {
		s.cancel(a, id)
	}
	for _, f := range next.Start {
		if f.Source == distribute.Origin {
			s.originStarts++
		}
		a.active[f.ID] = &simFetch{Fetch: f, endsAt: s.now.Add(simStep * time.Duration(2+s.rng.Intn(6)))}
	}
	for _, address := range next.QueryPeers {
		p := s.findAgent(address)
		if p != nil && !p.dead && !s.isStalled(address, a.identity.Address) && !s.isStalled(a.identity.Address, address) {
			have := weights.NewBitmap(len(s.versions[a.target].Chunks))
			for i, c := range s.versions[a.target].Chunks {
				if p.store[c.Digest] {
					have.Set(i)
				}
			}
			a.downloader.SetPeerBitmap(address, s.digests[a.target], have)
		}
	}
	if next.Announce != nil && a.tracker != nil && !a.tracker.down && !s.isStalled(a.identity.Address, a.tracker.address) {
		tr := s.tracker(a.tracker, a.domain, a.target)
		tr.HandleAnnounce(s.now, a.identity, next.Announce)
		a.lastSequence = next.Announce.Sequence
		s.deliver(a, &wire.Assign{Manifest: s.digests[a.target], ReannounceMillis: 250, Peers: tr.PeersFor(a.identity.Address)})
		s.schedule(a.domain, a.tracker, tr)
	}
	if next.Done {
		for i, c := range s.versions[a.target].Chunks {
			if !a.store[c.Digest] {
				return fmt.Errorf("%s reports version %d as complete but lacks chunk %d", a.identity.Address, a.target, i)
			}
		}
		a.done = true
	}
	return nil
}

func (s *sim) deliver(a *simAgent, m *wire.Assign) {
	if a.dead || a.tracker == nil || s.isStalled(a.tracker.address, a.identity.Address) {
		return
	}
	m.Sequence = a.lastSequence
	a.inbox = append(a.inbox, m)
}

func (s *sim) schedule(d *simDomain, t *simTracker, tr *distribute.Tracker) {
	for _, m := range tr.Schedule(s.now) {
		if a := s.findAgent(m.Address); a.tracker == t {
			s.deliver(a, m.Assign)
		}
	}
}

// tickTrackers removes silent agents, schedules assignments and exchanges
// summaries between running trackers.
func (s *sim) tickTrackers() {
	for _, d := range s.domains {
		for _, t := range d.trackers {
			if t.down {
				t.byDigest = make(map[model.Digest]*distribute.Tracker)
				continue
			}
			for v, digest := range s.digests {
				tr, ok := t.byDigest[digest]
				if !ok {
					continue
				}
				tr.Tick(s.now)
				s.schedule(d, t, tr)
				summary := tr.Summarize()
				for _, other := range s.domains {
					for _, o := range other.trackers {
						if o != t && !o.down && o.byDigest[s.digests[v]] != nil {
							o.byDigest[digest].UpdateRemote(s.now, t.address, summary)
						}
					}
				}
			}
		}
	}
}
