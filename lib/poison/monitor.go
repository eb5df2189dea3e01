package poison

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Monitor is one entry's view of suspects. Times are of the entry's own clock.
type Monitor struct {
	config   Config
	self     entryID
	suspects map[model.Fingerprint]*suspect
	flights  map[model.Fingerprint]*flight
	proven   *proven
}

// New returns the monitor of one generation of an entry.
func New(config Config, instance model.InstanceID, generation model.Generation) *Monitor {
	config = config.applyDefaults()
	return &Monitor{
		config:   config,
		proven:   newProven(config.MaxKnownGood, config.MaxCredit),
		self:     entryID{instance, generation},
		suspects: make(map[model.Fingerprint]*suspect),
		flights:  make(map[model.Fingerprint]*flight),
	}
}

// Started records a dispatch. It is called before the RequestStart is sent, and
// only after Verdict allowed it. The update, when not nil, is sent to all peers
// at once, as are those of all other methods.
func (m *Monitor) Started(now time.Time, finger model.Fingerprint, instance model.InstanceID) *wire.SuspectUpdate {
	f, ok := m.flights[finger]
	if !ok {
		f = newFlight()
		m.flights[finger] = f
	}
	f.running[instance]++
	return m.announceOwn(now, finger)
}

// Finished records the end of a dispatch. An answer of the backend server, even
// an error, shows that it survived and clears the fingerprint.
func (m *Monitor) Finished(now time.Time, finger model.Fingerprint, instance model.InstanceID, o outcome.Outcome) *wire.SuspectUpdate {
	f, ok := m.flights[finger]
	if !ok {
		return nil
	}
	f.finish(instance)
	s := m.suspects[finger]
	switch {
	case o == outcome.Completed || o == outcome.Failed:
		if s != nil && s.clear() {
			s.intendsSince = time.Time{}
		} else {
			m.proven.add(now, finger)
		}
	case o == outcome.Unknown && !m.crashKnown(now, s, instance):
		f.lose(instance, now, now.Add(m.config.LostHold))
	}
	update := m.announceOwn(now, finger)
	m.dropFlight(now, finger)
	return update
}

// Answered records the whole answer of a backend server to a request whose
// dispatches are not recorded. It shows that the server survived and clears the
// fingerprint.
func (m *Monitor) Answered(now time.Time, finger model.Fingerprint) *wire.SuspectUpdate {
	if s := m.suspects[finger]; s == nil || !s.clear() {
		m.proven.add(now, finger)
		return nil
	}
	return m.updateOf(now, []model.Fingerprint{finger})
}

// Survived takes back the crash of an instance that was seen alive after it.
func (m *Monitor) Survived(now time.Time, instance model.InstanceID) *wire.SuspectUpdate {
	var changed []model.Fingerprint
	for finger, s := range m.suspects {
		if s.clearInstance(instance) {
			changed = append(changed, finger)
		}
	}
	return m.updateOf(now, changed)
}

// Withdraw says that this entry will not run a suspect for which Verdict
// answered Hold: its request has gone.
func (m *Monitor) Withdraw(now time.Time, finger model.Fingerprint) *wire.SuspectUpdate {
	s, ok := m.suspects[finger]
	if !ok || s.intendsSince.IsZero() {
		return nil
	}
	s.intendsSince = time.Time{}
	return m.announceOwn(now, finger)
}

// crashKnown reports whether the crash of the instance was reported already, so
// that a lost attempt on it needs no further hold.
func (m *Monitor) crashKnown(now time.Time, s *suspect, instance model.InstanceID) bool {
	if s == nil {
		return false
	}
	crashed, _ := s.crashed(now, m.config.TTL)
	return contains(crashed, instance)
}

// Crashed records an agent's report about its backend server.
func (m *Monitor) Crashed(now time.Time, agent model.InstanceID, generation model.Generation, report wire.CrashReport) *wire.SuspectUpdate {
	var changed []model.Fingerprint
	id := incidentID{agent, generation, report.Incarnation}
	for _, finger := range report.InFlight {
		if f, ok := m.flights[finger]; ok {
			delete(f.lost, agent)
		}
		if m.addCrash(now, finger, id, now, false) {
			changed = append(changed, finger)
		}
	}
	return m.updateOf(now, changed)
}

// addCrash records a crash and reports whether that was news. An earlier answer
// to the same content clears it.
func (m *Monitor) addCrash(now time.Time, finger model.Fingerprint, id incidentID, first time.Time, cleared bool) bool {
	s := m.suspect(now, finger)
	if _, known := s.incidents[id]; !known && !cleared {
		cleared = m.proven.use(now, finger, m.config.TTL)
	}
	return s.add(now, id, first, cleared)
}

// Merge takes a peer's update. The result, when not nil, carries what was news
// and this entry's own runs; it is sent to all peers.
func (m *Monitor) Merge(now time.Time, update wire.SuspectUpdate) *wire.SuspectUpdate {
	var changed []model.Fingerprint
	for _, in := range update.Suspects {
		if m.mergeSuspect(now, in) {
			changed = append(changed, in.Finger)
		}
	}
	return m.updateOf(now, changed)
}

func (m *Monitor) mergeSuspect(now time.Time, in wire.Suspect) (changed bool) {
	for _, c := range in.Incidents {
		first := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
		if now.Sub(first) > m.config.TTL {
			continue
		}
		id := incidentID{c.Instance, c.Generation, c.Incarnation}
		changed = m.addCrash(now, in.Finger, id, first, c.Cleared) || changed
	}
	s, ok := m.suspects[in.Finger]
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
		s.runs[id] = &run{sequence: r.Sequence, intends: r.Intends, running: running, seen: now}
		changed = true
	}
	return changed
}

// Tick drops what has expired and repeats this entry's announcements. It is
// called every few seconds.
func (m *Monitor) Tick(now time.Time) *wire.SuspectUpdate {
	for finger := range m.flights {
		m.dropFlight(now, finger)
	}
	var own []model.Fingerprint
	for finger, s := range m.suspects {
		if !s.intendsSince.IsZero() && now.Sub(s.intendsSince) > m.config.RunTTL {
			s.intendsSince = time.Time{} // Its request has gone.
		}
		if !s.expire(now, m.config) {
			delete(m.suspects, finger)
			continue
		}
		before := s.own.sequence
		m.refreshOwn(now, finger, s)
		if s.own.intends || len(s.own.running) > 0 {
			s.own.sequence++
		}
		if s.own.sequence != before {
			own = append(own, finger)
		}
	}
	return m.updateOf(now, own)
}

// Snapshot returns all that is known, for a new peer, or nil.
func (m *Monitor) Snapshot(now time.Time) *wire.SuspectUpdate {
	all := make([]model.Fingerprint, 0, len(m.suspects))
	for finger := range m.suspects {
		all = append(all, finger)
	}
	return m.updateOf(now, all)
}

// TopSuspects returns what is known of the fingerprints with at least so many crashes,
// or nil if there are none. Of more than limit, it returns those that were heard of
// last.
func (m *Monitor) TopSuspects(now time.Time, crashes, limit int) *wire.SuspectUpdate {
	var likely []model.Fingerprint
	for finger, s := range m.suspects {
		if crashed, _ := s.crashed(now, m.config.TTL); len(crashed) >= crashes {
			likely = append(likely, finger)
		}
	}
	slices.SortFunc(likely, func(a, b model.Fingerprint) int { return m.suspects[b].known.Compare(m.suspects[a].known) })
	return m.updateOf(now, likely[:min(len(likely), limit)])
}

// Crashes returns the number of different instances that crashed while they ran
// the fingerprint, and when the last of these crashes is forgotten.
func (m *Monitor) Crashes(now time.Time, finger model.Fingerprint) (int, time.Time) {
	s := m.suspects[finger]
	if s == nil {
		return 0, time.Time{}
	}
	crashed, last := s.crashed(now, m.config.TTL)
	return len(crashed), last.Add(m.config.TTL)
}

// SuspectCount returns the number of fingerprints that are remembered.
func (m *Monitor) SuspectCount() int { return len(m.suspects) }

func (m *Monitor) dropFlight(now time.Time, finger model.Fingerprint) {
	if f, ok := m.flights[finger]; ok && !f.expire(now) {
		delete(m.flights, finger)
	}
}
