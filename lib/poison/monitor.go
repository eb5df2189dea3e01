package poison

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Monitor is one entry's view of the suspects. All times are of the entry's own
// clock. Methods that return an update return nil if there is none to send. A
// Monitor is not safe for concurrent use.
type Monitor struct {
	config    Config
	self      entryID
	suspects  map[model.Fingerprint]*suspect
	attempts  map[model.Fingerprint]*attempts
	knownGood *knownGood
}

// New returns the Monitor of one generation of an entry.
func New(config Config, instance model.InstanceID, generation model.Generation) *Monitor {
	config = config.applyDefaults()
	return &Monitor{
		config:    config,
		knownGood: newKnownGood(config.MaxKnownGood, config.MaxCredit),
		self:      entryID{instance, generation},
		suspects:  make(map[model.Fingerprint]*suspect),
		attempts:  make(map[model.Fingerprint]*attempts),
	}
}

// Started records a dispatch. It must be called before the RequestStart is sent, and
// only after Verdict allowed the dispatch. The update must be sent to all peers at
// once, as must those of all other methods.
func (m *Monitor) Started(now time.Time, fingerprint model.Fingerprint, instance model.InstanceID) *wire.SuspectUpdate {
	a, ok := m.attempts[fingerprint]
	if !ok {
		a = newAttempts()
		m.attempts[fingerprint] = a
	}
	a.running[instance]++
	return m.ownUpdate(now, fingerprint)
}

// Finished records the end of a dispatch. A response of the backend server, even an
// error, shows that it survived and clears the fingerprint.
func (m *Monitor) Finished(now time.Time, fingerprint model.Fingerprint, instance model.InstanceID, o outcome.Outcome) *wire.SuspectUpdate {
	a, ok := m.attempts[fingerprint]
	if !ok {
		return nil
	}
	a.finish(instance)
	s := m.suspects[fingerprint]
	switch {
	case o == outcome.Completed || o == outcome.Failed:
		if s != nil && s.clear() {
			s.plannedSince = time.Time{}
		} else {
			m.knownGood.add(now, fingerprint)
		}
	case o == outcome.Unknown && !m.crashKnown(now, s, instance):
		a.markLost(instance, now, now.Add(m.config.LostHold))
	}
	update := m.ownUpdate(now, fingerprint)
	m.dropIdleAttempts(now, fingerprint)
	return update
}

// Answered records a whole response to a request whose dispatches are not recorded.
// It shows that the backend server survived and clears the fingerprint.
func (m *Monitor) Answered(now time.Time, fingerprint model.Fingerprint) *wire.SuspectUpdate {
	s := m.suspects[fingerprint]
	cleared := s != nil && s.clear()
	if !cleared || m.config.SoundFor > 0 {
		m.knownGood.add(now, fingerprint)
	}
	if !cleared {
		return nil
	}
	return m.updateFor(now, []model.Fingerprint{fingerprint})
}

// Survived clears the crashes of an instance that was seen alive after them.
func (m *Monitor) Survived(now time.Time, instance model.InstanceID) *wire.SuspectUpdate {
	var changed []model.Fingerprint
	for fingerprint, s := range m.suspects {
		if s.clearInstance(instance) {
			changed = append(changed, fingerprint)
		}
	}
	return m.updateFor(now, changed)
}

// Withdraw announces that this entry will not run a suspect that Verdict held,
// because its request has ended.
func (m *Monitor) Withdraw(now time.Time, fingerprint model.Fingerprint) *wire.SuspectUpdate {
	s, ok := m.suspects[fingerprint]
	if !ok || s.plannedSince.IsZero() {
		return nil
	}
	s.plannedSince = time.Time{}
	return m.ownUpdate(now, fingerprint)
}

// crashKnown reports whether a crash of the instance has been reported, so that a
// lost attempt on it need not be held.
func (m *Monitor) crashKnown(now time.Time, s *suspect, instance model.InstanceID) bool {
	if s == nil {
		return false
	}
	crashed, _ := s.crashedInstances(now, m.config.TTL)
	return contains(crashed, instance)
}

// Crashed records an agent's report of a crash of its backend server.
func (m *Monitor) Crashed(now time.Time, agent model.InstanceID, generation model.Generation, report wire.CrashReport) *wire.SuspectUpdate {
	var changed []model.Fingerprint
	id := incidentID{agent, generation, report.Incarnation}
	for _, fingerprint := range report.InFlight {
		if a, ok := m.attempts[fingerprint]; ok {
			delete(a.lost, agent)
		}
		if m.addCrash(now, fingerprint, id, now, false) {
			changed = append(changed, fingerprint)
		}
	}
	return m.updateFor(now, changed)
}

// addCrash records a crash and reports whether it was new. It is cleared at once if
// there is credit from earlier responses to the same content.
func (m *Monitor) addCrash(now time.Time, fingerprint model.Fingerprint, id incidentID, first time.Time, cleared bool) bool {
	s := m.suspect(now, fingerprint)
	if _, known := s.incidents[id]; !known && !cleared {
		cleared = m.knownGood.answeredWithin(now, fingerprint, m.config.SoundFor) || m.knownGood.spend(now, fingerprint, m.config.TTL)
	}
	return s.addIncident(now, id, first, cleared)
}

// Merge merges a peer's update. The result contains what was new and this entry's
// own runs.
func (m *Monitor) Merge(now time.Time, update wire.SuspectUpdate) *wire.SuspectUpdate {
	var changed []model.Fingerprint
	for _, in := range update.Suspects {
		if m.mergeSuspect(now, in) {
			changed = append(changed, in.Fingerprint)
		}
	}
	return m.updateFor(now, changed)
}

func (m *Monitor) mergeSuspect(now time.Time, in wire.Suspect) (changed bool) {
	for _, incident := range in.Incidents {
		first := now.Add(-time.Duration(incident.AgeMillis) * time.Millisecond)
		if now.Sub(first) > m.config.TTL {
			continue
		}
		id := incidentID{incident.Instance, incident.Generation, incident.Incarnation}
		changed = m.addCrash(now, in.Fingerprint, id, first, incident.Cleared) || changed
	}
	s, ok := m.suspects[in.Fingerprint]
	if !ok {
		return changed
	}
	for _, r := range in.Runs {
		id := entryID{r.Entry, r.Generation}
		known, ok := s.runs[id]
		if id == m.self || ok && known.sequence >= r.Sequence || !ok && len(s.runs) >= maxRuns {
			continue
		}
		running := slices.Clone(r.Running)
		s.runs[id] = &run{sequence: r.Sequence, planned: r.Planned, running: running, receivedAt: now}
		changed = true
	}
	return changed
}

// Tick drops expired state and renews this entry's announcements. It must be called
// every few seconds.
func (m *Monitor) Tick(now time.Time) *wire.SuspectUpdate {
	for fingerprint := range m.attempts {
		m.dropIdleAttempts(now, fingerprint)
	}
	var own []model.Fingerprint
	for fingerprint, s := range m.suspects {
		if !s.plannedSince.IsZero() && now.Sub(s.plannedSince) > m.config.RunTTL {
			s.plannedSince = time.Time{} // Its request has ended.
		}
		if !s.expire(now, m.config) {
			delete(m.suspects, fingerprint)
			continue
		}
		before := s.ownRun.sequence
		m.refreshOwn(now, fingerprint, s)
		if s.ownRun.planned || len(s.ownRun.running) > 0 {
			s.ownRun.sequence++
		}
		if s.ownRun.sequence != before {
			own = append(own, fingerprint)
		}
	}
	return m.updateFor(now, own)
}

// Snapshot returns everything that is known, for a new peer, or nil.
func (m *Monitor) Snapshot(now time.Time) *wire.SuspectUpdate {
	all := make([]model.Fingerprint, 0, len(m.suspects))
	for fingerprint := range m.suspects {
		all = append(all, fingerprint)
	}
	return m.updateFor(now, all)
}

// TopSuspects returns what is known of the fingerprints with at least the given
// number of crashes, or nil if there are none. If there are more than limit, it
// returns those with the most recent new crash.
func (m *Monitor) TopSuspects(now time.Time, crashes, limit int) *wire.SuspectUpdate {
	var top []model.Fingerprint
	for fingerprint, s := range m.suspects {
		if crashed, _ := s.crashedInstances(now, m.config.TTL); len(crashed) >= crashes {
			top = append(top, fingerprint)
		}
	}
	m.sortByNewCrash(top)
	return m.updateFor(now, top[:min(len(top), limit)])
}

// ClearedSince returns what is known of the fingerprints with crashes that became known
// since a time and do not count because of a response, or nil if there are none. If there
// are more than limit, it returns those with the most recent new crash.
func (m *Monitor) ClearedSince(now, since time.Time, limit int) *wire.SuspectUpdate {
	var cleared []model.Fingerprint
	for fingerprint, s := range m.suspects {
		if !s.lastNewCrash.Before(since) && s.hasCleared() {
			cleared = append(cleared, fingerprint)
		}
	}
	m.sortByNewCrash(cleared)
	return m.updateFor(now, cleared[:min(len(cleared), limit)])
}

func (m *Monitor) sortByNewCrash(fingerprints []model.Fingerprint) {
	slices.SortFunc(fingerprints, func(a, b model.Fingerprint) int {
		return m.suspects[b].lastNewCrash.Compare(m.suspects[a].lastNewCrash)
	})
}

// Crashes returns the number of different instances that crashed while they ran the
// fingerprint, and when the last of these crashes expires.
func (m *Monitor) Crashes(now time.Time, fingerprint model.Fingerprint) (int, time.Time) {
	crashed, until := m.crashesOf(now, fingerprint)
	return len(crashed), until
}

// SuspectCount returns the number of fingerprints that are remembered as suspects.
func (m *Monitor) SuspectCount() int { return len(m.suspects) }

func (m *Monitor) dropIdleAttempts(now time.Time, fingerprint model.Fingerprint) {
	if a, ok := m.attempts[fingerprint]; ok && !a.expire(now) {
		delete(m.attempts, fingerprint)
	}
}
