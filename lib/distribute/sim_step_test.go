package distribute_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
)

// step advances the simulation by simStep.
func (s *sim) step() error {
	s.now = s.now.Add(simStep)
	if s.now.Sub(s.start)%(100*time.Millisecond) == 0 {
		s.tickTrackers()
	}
	for _, a := range s.agents {
		if a.dead {
			continue
		}
		s.reconnect(a)
		inbox := a.inbox
		a.inbox = nil
		for _, m := range inbox {
			a.downloader.HandleAssign(s.now, m)
		}
		s.finishFetches(a)
		if err := s.applyActions(a); err != nil {
			return err
		}
	}
	return nil
}

// reconnect imitates the transfer service: it replaces a silent tracker by the
// next reachable one, or reports to the Downloader that there is none.
func (s *sim) reconnect(a *simAgent) {
	if a.tracker != nil && !a.tracker.down && a.downloader.TrackerSilence(s.now) < 1500*time.Millisecond {
		return
	}
	if a.tracker != nil {
		s.connect(a, nil)
	}
	for _, t := range a.domain.trackers {
		if !t.down && !s.isStalled(a.identity.Address, t.address) && !s.isStalled(t.address, a.identity.Address) {
			s.connect(a, t)
			return
		}
	}
	a.downloader.TrackerLost(s.now)
}

func (s *sim) finishFetches(a *simAgent) {
	for _, id := range slices.Sorted(maps.Keys(a.active)) {
		f := a.active[id]
		if s.now.Before(f.endsAt) {
			continue
		}
		source := f.Source
		if source == distribute.Origin {
			source = "origin"
		}
		if s.isStalled(source, a.identity.Address) {
			continue // nothing arrives over a stalled link
		}
		delete(a.active, id)
		r, retry := s.fetchResult(f.Source, f.Chunk.Digest)
		if r == distribute.Delivered {
			a.store[f.Chunk.Digest] = true
		} else {
			s.countFailure(f)
		}
		a.downloader.FetchFinished(s.now, id, f.Chunk.Digest, r, retry)
	}
}

func (s *sim) fetchResult(source string, chunk model.Digest) (distribute.Result, time.Duration) {
	if source == distribute.Origin {
		if s.now.Before(s.throttleUntil) {
			return distribute.Throttled, 200 * time.Millisecond
		}
	} else {
		holder := s.findAgent(source)
		if holder == nil || holder.dead {
			return distribute.Failed, 0
		}
		if !holder.store[chunk] {
			return distribute.Absent, 0
		}
	}
	if s.rng.Float64() < s.corruptShare {
		return distribute.Corrupt, 0
	}
	return distribute.Delivered, 0
}

func (s *sim) findAgent(address string) *simAgent {
	for _, a := range s.agents {
		if a.identity.Address == address {
			return a
		}
	}
	return nil
}

// run calls step until all surviving agents are complete. It returns an error
// if they are not within limit. each, if not nil, is called before every step.
func (s *sim) run(limit time.Duration, each func()) error {
	for end := s.now.Add(limit); s.now.Before(end); {
		if each != nil {
			each()
		}
		if err := s.step(); err != nil {
			return err
		}
		if s.complete() {
			return nil
		}
	}
	for _, a := range s.agents {
		if !a.dead && !a.done {
			return fmt.Errorf("%s lacks %d chunks of version %d after %s", a.identity.Address, a.downloader.Missing(), a.target, limit)
		}
	}
	return nil
}

func (s *sim) complete() bool {
	for _, a := range s.agents {
		if !a.dead && !a.done {
			return false
		}
	}
	return true
}
