package distribute_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/model"
)

// step advances time by simStep.
func (s *sim) step() error {
	s.now = s.now.Add(simStep)
	if s.now.Sub(s.start)%(100*time.Millisecond) == 0 {
		s.trackerTick()
	}
	for _, a := range s.agents {
		if a.dead {
			continue
		}
		s.reconnect(a)
		inbox := a.inbox
		a.inbox = nil
		for _, m := range inbox {
			a.d.HandleAssign(s.now, m)
		}
		s.finish(a)
		if err := s.act(a); err != nil {
			return err
		}
	}
	return nil
}

// reconnect does what the transfer assembly does: it leaves a silent tracker for
// the next one and reports when there is none.
func (s *sim) reconnect(a *simAgent) {
	if a.tracker != nil && !a.tracker.down && a.d.TrackerSilence(s.now) < 1500*time.Millisecond {
		return
	}
	if a.tracker != nil {
		s.connect(a, nil)
	}
	for _, t := range a.domain.trackers {
		if !t.down && !s.cut(a.identity.Address, t.address) && !s.cut(t.address, a.identity.Address) {
			s.connect(a, t)
			return
		}
	}
	a.d.TrackerLost(s.now)
}

func (s *sim) finish(a *simAgent) {
	for _, id := range slices.Sorted(maps.Keys(a.active)) {
		f := a.active[id]
		if s.now.Before(f.ends) {
			continue
		}
		source := f.Source
		if source == distribute.Origin {
			source = "origin"
		}
		if s.cut(source, a.identity.Address) {
			continue // no byte ever arrives
		}
		delete(a.active, id)
		r, retry := s.outcome(f.Source, f.Chunk.Digest)
		if r == distribute.Delivered {
			a.store[f.Chunk.Digest] = true
		} else {
			s.failed(f)
		}
		a.d.FetchFinished(s.now, id, f.Chunk.Digest, r, retry)
	}
}

func (s *sim) outcome(source string, chunk model.Digest) (distribute.Result, time.Duration) {
	if source == distribute.Origin {
		if s.now.Before(s.throttleUntil) {
			return distribute.Throttled, 200 * time.Millisecond
		}
	} else {
		holder := s.byAddress(source)
		if holder == nil || holder.dead {
			return distribute.Failed, 0
		}
		if !holder.store[chunk] {
			return distribute.Absent, 0
		}
	}
	if s.rng.Float64() < s.corrupt {
		return distribute.Corrupt, 0
	}
	return distribute.Delivered, 0
}

func (s *sim) byAddress(address string) *simAgent {
	for _, a := range s.agents {
		if a.identity.Address == address {
			return a
		}
	}
	return nil
}

// run steps until all living agents are complete or the time is over.
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
			return fmt.Errorf("%s misses %d chunks of version %d after %s", a.identity.Address, a.d.Missing(), a.target, limit)
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
