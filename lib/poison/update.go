package poison

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// suspect returns the record of a fingerprint. It creates a missing one, and evicts
// another if there is no space.
func (m *Monitor) suspect(now time.Time, fingerprint model.Fingerprint) *suspect {
	s, ok := m.suspects[fingerprint]
	if ok {
		return s
	}
	if len(m.suspects) >= m.config.MaxSuspects {
		m.evict(now)
	}
	s = newSuspect(now)
	m.suspects[fingerprint] = s
	return s
}

// evict drops the least important record: the one with the fewest crashes that are
// not cleared, and the oldest of those.
func (m *Monitor) evict(now time.Time) {
	var victim model.Fingerprint
	var oldest time.Time
	fewest := -1
	for fingerprint, s := range m.suspects {
		crashed, _ := s.crashedInstances(now, m.config.TTL)
		crashes := len(crashed)
		if fewest < 0 || crashes < fewest || crashes == fewest && s.lastNewCrash.Before(oldest) {
			victim, oldest, fewest = fingerprint, s.lastNewCrash, crashes
		}
	}
	delete(m.suspects, victim)
}

// ownUpdate returns the state of this entry's runs of a fingerprint for the peers,
// or nil if it is no suspect.
func (m *Monitor) ownUpdate(now time.Time, fingerprint model.Fingerprint) *wire.SuspectUpdate {
	s, ok := m.suspects[fingerprint]
	if !ok {
		return nil
	}
	m.refreshOwn(now, fingerprint, s)
	return m.updateFor(now, []model.Fingerprint{fingerprint})
}

// updateFor returns what is known of some fingerprints, or nil for none.
func (m *Monitor) updateFor(now time.Time, fingerprints []model.Fingerprint) *wire.SuspectUpdate {
	if len(fingerprints) == 0 {
		return nil
	}
	update := &wire.SuspectUpdate{Suspects: make([]wire.Suspect, 0, len(fingerprints))}
	for _, fingerprint := range fingerprints {
		if s, ok := m.suspects[fingerprint]; ok {
			update.Suspects = append(update.Suspects, m.encode(now, fingerprint, s))
		}
	}
	return update
}

func (m *Monitor) encode(now time.Time, fingerprint model.Fingerprint, s *suspect) wire.Suspect {
	out := wire.Suspect{Fingerprint: fingerprint}
	for id, in := range s.incidents {
		out.Incidents = append(out.Incidents, wire.Incident{
			Instance: id.instance, Generation: id.generation, Incarnation: id.incarnation,
			Cleared: in.cleared, AgeMillis: now.Sub(in.first).Milliseconds(),
		})
	}
	for id, r := range s.runs {
		out.Runs = append(out.Runs, wire.SuspectRun{
			Entry: id.instance, Generation: id.generation, Sequence: r.sequence,
			Planned: r.planned, Running: slices.Clone(r.running),
		})
	}
	m.refreshOwn(now, fingerprint, s)
	if s.ownRun.sequence > 0 {
		out.Runs = append(out.Runs, wire.SuspectRun{
			Entry: m.self.instance, Generation: m.self.generation, Sequence: s.ownRun.sequence,
			Planned: s.ownRun.planned, Running: slices.Clone(s.ownRun.running),
		})
	}
	return out
}

// refreshOwn updates this entry's announcement. The content of an announcement never
// changes without a new sequence number, so that peers may merge it in any order. A
// run that was in flight before the fingerprint became a suspect is announced with
// the first update about it.
func (m *Monitor) refreshOwn(now time.Time, fingerprint model.Fingerprint, s *suspect) {
	var running []model.InstanceID
	if a, ok := m.attempts[fingerprint]; ok && a.expire(now) {
		running = a.instances()
		slices.Sort(running)
	}
	planned := !s.plannedSince.IsZero()
	if planned != s.ownRun.planned || !slices.Equal(running, s.ownRun.running) {
		s.ownRun = run{sequence: s.ownRun.sequence + 1, planned: planned, running: running}
	}
}
