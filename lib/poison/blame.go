package poison

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Evidence is what one Monitor knows about the fingerprints of one request.
type Evidence struct {
	Monitor *Monitor
	// Own are the fingerprints that the request has.
	Own []model.Fingerprint
}

// Blame is a fingerprint of a request that crashes backend servers.
type Blame struct {
	// Monitor is the one that tracks the fingerprint.
	Monitor     *Monitor
	Fingerprint model.Fingerprint
	// Crashes is the number of different backend servers that crashed.
	Crashes int
	// Until is when the last crash expires.
	Until time.Time
}

// FindBlame returns the first fingerprint of a request with which as many backend servers
// have crashed as its Monitor quarantines for, or nil. See Judge.
func FindBlame(now time.Time, evidence ...Evidence) *Blame {
	blames, _ := Judge(now, evidence...)
	if len(blames) == 0 {
		return nil
	}
	return &blames[0]
}

// Judge returns the fingerprints of a request with which as many backend servers have crashed
// as their Monitor quarantines for. If there are none, it returns those that have as many
// crashes and are merely explained by others.
//
// A crash ends all requests on its server, and requests that share a part have the parts
// beside it in common as well. A fingerprint is therefore not to blame if each of its
// crashes is explained by another one that the request does not have, that would be
// quarantined too and that has at least as many crashes. Of two fingerprints that were
// always seen together, each explains the other: a request with only one of them runs, and
// its outcome tells them apart.
func Judge(now time.Time, evidence ...Evidence) ([]Blame, []Tie) {
	var blames []Blame
	var ties []Tie
	for _, e := range evidence {
		for _, fingerprint := range e.Own {
			crashed, until := e.Monitor.crashesOf(now, fingerprint)
			if len(crashed) < e.Monitor.config.QuarantineCrashes {
				continue
			}
			if !explained(now, crashed, evidence) {
				blames = append(blames, Blame{e.Monitor, fingerprint, len(crashed), until})
				continue
			}
			ties = append(ties, Tie{fingerprint, len(crashed)})
		}
	}
	if len(blames) > 0 {
		return blames, nil
	}
	return nil, ties
}

// explained reports whether fingerprints that the request does not have explain the crashes
// of all given instances.
func explained(now time.Time, crashed []model.InstanceID, evidence []Evidence) bool {
	open := slices.Clone(crashed)
	for _, e := range evidence {
		enough := max(len(crashed), e.Monitor.config.QuarantineCrashes)
		for fingerprint := range e.Monitor.suspects {
			if slices.Contains(e.Own, fingerprint) {
				continue
			}
			other, _ := e.Monitor.crashesOf(now, fingerprint)
			if len(other) < enough {
				continue
			}
			open = slices.DeleteFunc(open, func(id model.InstanceID) bool { return contains(other, id) })
			if len(open) == 0 {
				return true
			}
		}
	}
	return false
}

// crashesOf returns the different instances that crashed while they ran the fingerprint,
// and when the last of these crashes expires.
func (m *Monitor) crashesOf(now time.Time, fingerprint model.Fingerprint) ([]model.InstanceID, time.Time) {
	s := m.suspects[fingerprint]
	if s == nil {
		return nil, time.Time{}
	}
	crashed, last := s.crashedInstances(now, m.config.TTL)
	return crashed, last.Add(m.config.TTL)
}
