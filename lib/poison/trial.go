package poison

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/rendezvous"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// trialDelay is the time between the last crash and the trial of a fingerprint whose
	// instances crashed one after the other.
	trialDelay = 10 * time.Second
	// jointTrialDelay takes its place if instances crashed together: one cause outside of
	// the requests would have the same effect.
	jointTrialDelay = 250 * time.Millisecond
	// trialDelayFactor lengthens the delay after each trial that an instance did not survive.
	trialDelayFactor = 10
	// trialJitter spreads the trials of entries that do not hear of each other's in time.
	trialJitter = 500 * time.Millisecond
	// jointGap is the longest time between two ends of instances that end together, and
	// minJoint the number of such instances.
	jointGap = 50 * time.Millisecond
	minJoint = 3
	// endsKnownAfter is when all instances that ended together with another one are known.
	endsKnownAfter = 200 * time.Millisecond
	// trialInstance stands for the instance of a trial in the announced runs: it is announced
	// before an instance is chosen.
	trialInstance model.InstanceID = "trial"
)

// Trial is the next trial of a quarantined fingerprint.
type Trial struct {
	// Due is when it may begin at the earliest; zero if the crashes expire before.
	Due time.Time
	// Joint is set if the quarantine rests on instances that crashed together, and no trial has
	// confirmed it.
	Joint bool
}

// NextTrial returns the next trial of a quarantined fingerprint: a quarantine stops the
// requests whose responses could lift it, so that one request is let through at times. The
// delay grows with each trial in which an instance crashes.
func (m *Monitor) NextTrial(now time.Time, fingerprint model.Fingerprint) Trial {
	s, ok := m.suspects[fingerprint]
	if !ok {
		return Trial{}
	}
	if s.nextTrialFor.Equal(s.lastNewCrash) {
		return s.nextTrial
	}
	trial := m.findNextTrial(now, s)
	if now.Sub(s.lastNewCrash) >= endsKnownAfter {
		s.nextTrial, s.nextTrialFor = trial, s.lastNewCrash
	}
	return trial
}

func (m *Monitor) findNextTrial(now time.Time, s *suspect) Trial {
	crashes := s.crashTimes(now, m.config.TTL)
	if len(crashes) < m.config.QuarantineCrashes {
		return Trial{}
	}
	joint := m.jointEnds()
	first, later := crashes[:m.config.QuarantineCrashes], crashes[m.config.QuarantineCrashes:]
	trial := Trial{Joint: slices.ContainsFunc(first, func(c crash) bool { return joint[c.instance] })}
	delay := trialDelay
	if trial.Joint {
		delay = jointTrialDelay
	}
	last := first[len(first)-1].at
	for _, c := range later {
		// Requests that began before the quarantine may end with their instances earlier.
		inTrial := c.at.Sub(last) >= delay && !joint[c.instance]
		switch {
		case inTrial && trial.Joint:
			trial.Joint, delay = false, trialDelay
		case inTrial:
			delay *= trialDelayFactor
		}
		last = c.at
	}
	if delay < m.config.TTL {
		trial.Due = last.Add(delay)
	}
	return trial
}

// trialJitter returns how much later than others this entry may begin a trial.
func (m *Monitor) trialJitter(fingerprint model.Fingerprint) time.Duration {
	score := rendezvous.Score(rendezvous.Hash(fingerprint.String()), rendezvous.Hash(string(m.self.instance)))
	return time.Duration(score % uint64(trialJitter))
}

// jointEnds returns the instances that ended together with others.
func (m *Monitor) jointEnds() map[model.InstanceID]bool {
	earliest := make(map[model.InstanceID]time.Time)
	for _, s := range m.suspects {
		for id, in := range s.incidents {
			if at, known := earliest[id.instance]; !known || in.first.Before(at) {
				earliest[id.instance] = in.first
			}
		}
	}
	ends := make([]crash, 0, len(earliest))
	for instance, at := range earliest {
		ends = append(ends, crash{instance, at})
	}
	sortCrashes(ends)
	joint := make(map[model.InstanceID]bool)
	for len(ends) > 0 {
		n := 1
		for n < len(ends) && ends[n].at.Sub(ends[n-1].at) <= jointGap {
			n++
		}
		if n >= minJoint {
			for _, e := range ends[:n] {
				joint[e.instance] = true
			}
		}
		ends = ends[n:]
	}
	return joint
}

// PlanTrial announces that this entry plans a trial of a fingerprint. It returns false if
// no trial is due, or if one is planned or running here or at another entry. The caller must
// call BeginTrial after Config.Settle.
func (m *Monitor) PlanTrial(now time.Time, fingerprint model.Fingerprint) (*wire.SuspectUpdate, bool) {
	s, ok := m.suspects[fingerprint]
	if !ok || !s.plannedSince.IsZero() || !m.mayTry(now, fingerprint, s) {
		return nil, false
	}
	if m.othersPlan(now, s, func(entryID) bool { return true }) {
		return nil, false
	}
	s.plannedSince = now
	return m.ownUpdate(now, fingerprint), true
}

// BeginTrial begins a planned trial. It returns false if another entry has begun one or has
// precedence, or if the fingerprint has crashed another instance. If it returns true, the
// caller must call EndTrial.
func (m *Monitor) BeginTrial(now time.Time, fingerprint model.Fingerprint) (*wire.SuspectUpdate, bool) {
	s, ok := m.suspects[fingerprint]
	if !ok || s.plannedSince.IsZero() {
		return nil, false
	}
	s.plannedSince = time.Time{}
	begin := m.mayTry(now, fingerprint, s) && !m.othersPlan(now, s, func(id entryID) bool { return id.before(m.self) })
	if !begin {
		return m.ownUpdate(now, fingerprint), false
	}
	return m.Started(now, fingerprint, trialInstance), true
}

// EndTrial records the end of a trial. lost is set if the instance may have crashed: others
// wait until that is known.
func (m *Monitor) EndTrial(now time.Time, fingerprint model.Fingerprint, lost bool) *wire.SuspectUpdate {
	a, ok := m.attempts[fingerprint]
	if !ok {
		return nil
	}
	a.finish(trialInstance)
	if lost {
		a.markLost(trialInstance, now, now.Add(m.config.LostHold))
	}
	update := m.ownUpdate(now, fingerprint)
	m.dropIdleAttempts(now, fingerprint)
	return update
}

// mayTry reports whether a trial is due and none is running.
func (m *Monitor) mayTry(now time.Time, fingerprint model.Fingerprint, s *suspect) bool {
	due := m.NextTrial(now, fingerprint).Due
	return !due.IsZero() && !now.Before(due.Add(m.trialJitter(fingerprint))) && !m.isRunning(now, fingerprint, s)
}

// othersPlan reports whether another entry that matches has lately announced a trial.
func (m *Monitor) othersPlan(now time.Time, s *suspect, match func(entryID) bool) bool {
	for id, r := range s.runs {
		if r.planned && match(id) && now.Sub(r.receivedAt) <= 2*m.config.Settle {
			return true
		}
	}
	return false
}
