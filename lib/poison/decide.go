package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Verdict decides whether a fingerprint may run on an instance now. For a suspect,
// it also announces that this entry plans to run it.
func (m *Monitor) Verdict(now time.Time, fingerprint model.Fingerprint, instance model.InstanceID) Verdict {
	s, ok := m.suspects[fingerprint]
	if !ok {
		return m.decideUnsuspected(now, fingerprint)
	}
	crashed, last := s.crashedInstances(now, m.config.TTL)
	settledCrash := s.lastNewCrash.Add(m.config.Settle)
	switch {
	case len(crashed) == 0:
		return m.decideUnsuspected(now, fingerprint)
	case len(crashed) >= m.config.QuarantineCrashes && now.Before(settledCrash):
		// A peer may have cleared one of the crashes; its update may still arrive.
		return Verdict{Decision: Hold, Until: settledCrash}
	case len(crashed) >= m.config.QuarantineCrashes:
		return Verdict{Decision: Quarantined, Until: last.Add(m.config.TTL)}
	case contains(crashed, instance) || m.otherSuspectOn(now, fingerprint, instance):
		return Verdict{Decision: RunElsewhere}
	case m.isRunning(now, fingerprint, s):
		return Verdict{Decision: Hold, Until: now.Add(m.config.RecheckDelay)}
	}
	if s.plannedSince.IsZero() {
		s.plannedSince = now
		return Verdict{Decision: Hold, Until: now.Add(m.config.Settle), Update: m.ownUpdate(now, fingerprint)}
	}
	if settled := later(s.plannedSince, s.lastNewCrash).Add(m.config.Settle); now.Before(settled) {
		return Verdict{Decision: Hold, Until: settled}
	}
	for id, r := range s.runs {
		if r.planned && id.before(m.self) && now.Sub(r.receivedAt) <= m.config.RunTTL {
			return Verdict{Decision: Hold, Until: now.Add(m.config.RecheckDelay)}
		}
	}
	return Verdict{Decision: RunAlone}
}

// decideUnsuspected decides on a fingerprint without known crashes. If an attempt
// was just lost, it holds the request, as the crash report may still arrive.
func (m *Monitor) decideUnsuspected(now time.Time, fingerprint model.Fingerprint) Verdict {
	a, ok := m.attempts[fingerprint]
	if !ok || !now.Before(a.lastLost.Add(m.config.Settle)) {
		return Verdict{Decision: Run}
	}
	return Verdict{Decision: Hold, Until: a.lastLost.Add(m.config.Settle)}
}

// Quarantined reports whether the fingerprint must not run on any instance.
func (m *Monitor) Quarantined(now time.Time, fingerprint model.Fingerprint) bool {
	s, ok := m.suspects[fingerprint]
	if !ok {
		return false
	}
	crashed, _ := s.crashedInstances(now, m.config.TTL)
	return len(crashed) >= m.config.QuarantineCrashes && !now.Before(s.lastNewCrash.Add(m.config.Settle))
}

// isRunning reports whether this or another entry runs the suspect.
func (m *Monitor) isRunning(now time.Time, fingerprint model.Fingerprint, s *suspect) bool {
	if a, ok := m.attempts[fingerprint]; ok && a.expire(now) {
		return true
	}
	for _, r := range s.runs {
		if len(r.running) > 0 && now.Sub(r.receivedAt) <= m.config.RunTTL {
			return true
		}
	}
	return false
}

// otherSuspectOn reports whether another suspect runs on the instance.
func (m *Monitor) otherSuspectOn(now time.Time, fingerprint model.Fingerprint, instance model.InstanceID) bool {
	for other, s := range m.suspects {
		if other == fingerprint {
			continue
		}
		if crashed, _ := s.crashedInstances(now, m.config.TTL); len(crashed) == 0 {
			continue
		}
		if a, ok := m.attempts[other]; ok && a.expire(now) && contains(a.instances(), instance) {
			return true
		}
		for _, r := range s.runs {
			if contains(r.running, instance) && now.Sub(r.receivedAt) <= m.config.RunTTL {
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
