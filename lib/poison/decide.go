package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Verdict says whether a fingerprint may run on an instance now. For a suspect
// it also announces this entry's intention to run it.
func (m *Monitor) Verdict(now time.Time, finger model.Fingerprint, instance model.InstanceID) Verdict {
	s, ok := m.suspects[finger]
	if !ok {
		return m.unsuspected(now, finger)
	}
	crashed, last := s.crashed(now, m.config.TTL)
	settledCrash := s.known.Add(m.config.Settle)
	switch {
	case len(crashed) == 0:
		return m.unsuspected(now, finger)
	case len(crashed) >= m.config.QuarantineCrashes && now.Before(settledCrash):
		// A peer may have cleared one of the crashes and its update be on its way.
		return Verdict{Decision: Hold, Until: settledCrash}
	case len(crashed) >= m.config.QuarantineCrashes:
		return Verdict{Decision: Quarantined, Until: last.Add(m.config.TTL)}
	case contains(crashed, instance) || m.otherSuspectOn(now, finger, instance):
		return Verdict{Decision: RunElsewhere}
	case m.inFlight(now, finger, s):
		return Verdict{Decision: Hold, Until: now.Add(m.config.RecheckDelay)}
	}
	if s.intendsSince.IsZero() {
		s.intendsSince = now
		return Verdict{Decision: Hold, Until: now.Add(m.config.Settle), Update: m.announceOwn(now, finger)}
	}
	if settled := later(s.intendsSince, s.known).Add(m.config.Settle); now.Before(settled) {
		return Verdict{Decision: Hold, Until: settled}
	}
	for id, r := range s.runs {
		if r.intends && id.before(m.self) && now.Sub(r.seen) <= m.config.RunTTL {
			return Verdict{Decision: Hold, Until: now.Add(m.config.RecheckDelay)}
		}
	}
	return Verdict{Decision: RunAlone}
}

// unsuspected decides about a fingerprint without known crashes. One whose
// attempt was just lost waits for the crash report that may be on its way.
func (m *Monitor) unsuspected(now time.Time, finger model.Fingerprint) Verdict {
	f, ok := m.flights[finger]
	if !ok || !now.Before(f.lastLost.Add(m.config.Settle)) {
		return Verdict{Decision: Run}
	}
	return Verdict{Decision: Hold, Until: f.lastLost.Add(m.config.Settle)}
}

// Quarantined reports whether the fingerprint must not run on any instance.
func (m *Monitor) Quarantined(now time.Time, finger model.Fingerprint) bool {
	s, ok := m.suspects[finger]
	if !ok {
		return false
	}
	crashed, _ := s.crashed(now, m.config.TTL)
	return len(crashed) >= m.config.QuarantineCrashes && !now.Before(s.known.Add(m.config.Settle))
}

// inFlight reports whether this or another entry runs the suspect.
func (m *Monitor) inFlight(now time.Time, finger model.Fingerprint, s *suspect) bool {
	if f, ok := m.flights[finger]; ok && f.expire(now) {
		return true
	}
	for _, r := range s.runs {
		if len(r.running) > 0 && now.Sub(r.seen) <= m.config.RunTTL {
			return true
		}
	}
	return false
}

// otherSuspectOn reports whether another suspect runs on the instance.
func (m *Monitor) otherSuspectOn(now time.Time, finger model.Fingerprint, instance model.InstanceID) bool {
	for other, s := range m.suspects {
		if other == finger {
			continue
		}
		if crashed, _ := s.crashed(now, m.config.TTL); len(crashed) == 0 {
			continue
		}
		if f, ok := m.flights[other]; ok && f.expire(now) && contains(f.instances(), instance) {
			return true
		}
		for _, r := range s.runs {
			if contains(r.running, instance) && now.Sub(r.seen) <= m.config.RunTTL {
				return true
			}
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
