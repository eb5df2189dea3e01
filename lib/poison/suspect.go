package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// suspect is the record of one fingerprint.
type suspect struct {
	incidents map[incidentID]*incident
	runs      map[entryID]*run

	// lastNewCrash is when this entry last learned of a new crash.
	lastNewCrash time.Time
	// plannedSince is when this entry announced that it plans to run the suspect; zero
	// if it does not.
	plannedSince time.Time
	// ownRun is this entry's last announcement.
	ownRun run
	// nextTrial is the next trial, computed when lastNewCrash was nextTrialFor.
	nextTrial    Trial
	nextTrialFor time.Time
}

func newSuspect(now time.Time) *suspect {
	return &suspect{
		incidents:    make(map[incidentID]*incident),
		runs:         make(map[entryID]*run),
		lastNewCrash: now,
	}
}

// crashedInstances returns the different instances that crashed, and when the last
// of these crashes was reported.
func (s *suspect) crashedInstances(now time.Time, ttl time.Duration) (instances []model.InstanceID, last time.Time) {
	for id, in := range s.incidents {
		if in.cleared || now.Sub(in.first) > ttl {
			continue
		}
		if in.first.After(last) {
			last = in.first
		}
		if !contains(instances, id.instance) {
			instances = append(instances, id.instance)
		}
	}
	return instances, last
}

// addIncident records a crash and reports whether it was new.
func (s *suspect) addIncident(now time.Time, id incidentID, first time.Time, cleared bool) bool {
	in, ok := s.incidents[id]
	if !ok {
		if len(s.incidents) >= maxIncidents && !s.dropCleared() && !s.dropOlder(first) {
			return false
		}
		s.incidents[id] = &incident{first: first, cleared: cleared}
		s.lastNewCrash = now
		return true
	}
	changed := cleared && !in.cleared
	in.cleared = in.cleared || cleared
	if first.Before(in.first) {
		in.first = first
	}
	return changed
}

// dropCleared drops the oldest crash that does not count. It returns false if there is none.
func (s *suspect) dropCleared() bool {
	var oldest incidentID
	found := false
	for id, in := range s.incidents {
		if in.cleared && (!found || in.first.Before(s.incidents[oldest].first)) {
			oldest, found = id, true
		}
	}
	delete(s.incidents, oldest)
	return found
}

// dropOlder drops the oldest crash, so that the end of a trial is never without a record. It
// returns false if all are newer than a time.
func (s *suspect) dropOlder(than time.Time) bool {
	var oldest incidentID
	for id, in := range s.incidents {
		if in.first.Before(than) {
			oldest, than = id, in.first
		}
	}
	_, found := s.incidents[oldest]
	delete(s.incidents, oldest)
	return found
}

// clear marks all known crashes as not caused by this fingerprint.
func (s *suspect) clear() (changed bool) {
	for _, in := range s.incidents {
		changed = changed || !in.cleared
		in.cleared = true
	}
	return changed
}

// hasCleared reports whether some crash does not count.
func (s *suspect) hasCleared() bool {
	for _, in := range s.incidents {
		if in.cleared {
			return true
		}
	}
	return false
}

// clearInstance marks the crashes of one instance as not caused by this fingerprint.
func (s *suspect) clearInstance(instance model.InstanceID) (changed bool) {
	for id, in := range s.incidents {
		if id.instance == instance {
			changed = changed || !in.cleared
			in.cleared = true
		}
	}
	return changed
}

// expire drops expired crashes and announcements. It reports whether any crash is
// left.
func (s *suspect) expire(now time.Time, c Config) bool {
	for id, in := range s.incidents {
		if now.Sub(in.first) > c.TTL {
			delete(s.incidents, id)
		}
	}
	for id, r := range s.runs {
		if now.Sub(r.receivedAt) > c.RunTTL {
			delete(s.runs, id)
		}
	}
	return len(s.incidents) > 0
}

func contains(list []model.InstanceID, id model.InstanceID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
