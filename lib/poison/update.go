package poison

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// suspect returns the record of a fingerprint and makes room for a new one.
func (m *Monitor) suspect(now time.Time, finger model.Fingerprint) *suspect {
	s, ok := m.suspects[finger]
	if ok {
		return s
	}
	if len(m.suspects) >= m.config.MaxSuspects {
		m.evict(now)
	}
	s = newSuspect(now)
	m.suspects[finger] = s
	return s
}

// evict drops the record that matters least: one that is cleared, else one with
// a single crash, else a quarantined one; the oldest of these.
func (m *Monitor) evict(now time.Time) {
	var victim model.Fingerprint
	var oldest time.Time
	fewest := -1
	for finger, s := range m.suspects {
		crashed, _ := s.crashed(now, m.config.TTL)
		weight := len(crashed)
		if fewest < 0 || weight < fewest || weight == fewest && s.known.Before(oldest) {
			victim, oldest, fewest = finger, s.known, weight
		}
	}
	delete(m.suspects, victim)
}

// announceOwn returns the state of this entry's runs of a suspect for the
// peers, or nil when the fingerprint is no suspect.
func (m *Monitor) announceOwn(now time.Time, finger model.Fingerprint) *wire.SuspectUpdate {
	s, ok := m.suspects[finger]
	if !ok {
		return nil
	}
	m.refreshOwn(now, finger, s)
	return m.updateOf(now, []model.Fingerprint{finger})
}

// updateOf returns what is known about some fingerprints, or nil for none.
func (m *Monitor) updateOf(now time.Time, fingers []model.Fingerprint) *wire.SuspectUpdate {
	if len(fingers) == 0 {
		return nil
	}
	update := &wire.SuspectUpdate{Suspects: make([]wire.Suspect, 0, len(fingers))}
	for _, finger := range fingers {
		if s, ok := m.suspects[finger]; ok {
			update.Suspects = append(update.Suspects, m.encode(now, finger, s))
		}
	}
	return update
}

func (m *Monitor) encode(now time.Time, finger model.Fingerprint, s *suspect) wire.Suspect {
	out := wire.Suspect{Finger: finger}
	for id, in := range s.incidents {
		out.Incidents = append(out.Incidents, wire.Incident{
			Instance: id.instance, Generation: id.generation, Incarnation: id.incarnation,
			Cleared: in.cleared, AgeMillis: now.Sub(in.first).Milliseconds(),
		})
	}
	for id, r := range s.runs {
		out.Runs = append(out.Runs, wire.SuspectRun{
			Entry: id.instance, Generation: id.generation, Sequence: r.sequence,
			Intends: r.intends, Running: slices.Clone(r.running),
		})
	}
	m.refreshOwn(now, finger, s)
	if s.own.sequence > 0 {
		out.Runs = append(out.Runs, wire.SuspectRun{
			Entry: m.self.instance, Generation: m.self.generation, Sequence: s.own.sequence,
			Intends: s.own.intends, Running: slices.Clone(s.own.running),
		})
	}
	return out
}

// refreshOwn brings this entry's announcement up to date. Its content never
// changes under one sequence number, so that peers may merge it in any order. A
// run that was in flight before the fingerprint became a suspect is announced
// with the first update about it.
func (m *Monitor) refreshOwn(now time.Time, finger model.Fingerprint, s *suspect) {
	var running []model.InstanceID
	if f, ok := m.flights[finger]; ok && f.expire(now) {
		running = f.instances()
		slices.Sort(running)
	}
	intends := !s.intendsSince.IsZero()
	if intends != s.own.intends || !slices.Equal(running, s.own.running) {
		s.own = run{sequence: s.own.sequence + 1, intends: intends, running: running}
	}
}
