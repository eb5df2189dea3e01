package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// pendingWindow is how long an interrupted exchange waits for a sign that its
	// server has ended. Rows of crashed servers expire after three of their heartbeats,
	// which are sent every one or two seconds, and are then read.
	pendingWindow = 8 * time.Second
	// endRetention is how long the end of an instance is remembered.
	endRetention = time.Minute
	// expireInterval is the minimum time between two scans for expired exchanges by
	// Interrupted, which bounds the work per exchange.
	expireInterval = 100 * time.Millisecond
	// maxPending bounds the exchanges, maxEnds the ends that are remembered.
	maxPending = 4096
	maxEnds    = 1024
)

// Attributor attributes the ends of instances to the requests that they were
// running, where nothing on the instance reports crashes. An interrupted exchange
// alone is not sufficient evidence, as the network may have reset its connection. It
// counts once the instance has ended as well.
//
// An Attributor is not safe for concurrent use.
type Attributor struct {
	// pending holds the interrupted exchanges of instances that are not known to have
	// ended; count is their number.
	pending map[model.InstanceID][]interruptedExchange
	count   int
	// lastExpiry is when expired exchanges were last dropped.
	lastExpiry time.Time
	// ends is when instances ended, as far as known.
	ends map[model.InstanceID]time.Time
}

// interruptedExchange is an exchange that ended without a response.
type interruptedExchange struct {
	fingerprint model.Fingerprint
	at          time.Time
}

// NewAttributor returns an empty Attributor.
func NewAttributor() *Attributor {
	return &Attributor{pending: make(map[model.InstanceID][]interruptedExchange), ends: make(map[model.InstanceID]time.Time)}
}

// Interrupted records an exchange that ended without a response. ended reports
// whether the instance is known to have ended, so that the caller must record a
// crash at once. first reports whether it is the first pending exchange of the
// instance.
func (a *Attributor) Interrupted(now time.Time, instance model.InstanceID, fingerprint model.Fingerprint) (ended, first bool) {
	if a.EndedLately(now, instance) {
		return true, false
	}
	if now.Sub(a.lastExpiry) >= expireInterval {
		a.expire(now)
	}
	if a.count >= maxPending {
		return false, false
	}
	a.count++
	a.pending[instance] = append(a.pending[instance], interruptedExchange{fingerprint, now})
	return false, len(a.pending[instance]) == 1
}

// Pending returns the instances with pending exchanges.
func (a *Attributor) Pending(now time.Time) []model.InstanceID {
	if a.count == 0 {
		return nil
	}
	a.expire(now)
	instances := make([]model.InstanceID, 0, len(a.pending))
	for instance := range a.pending {
		instances = append(instances, instance)
	}
	return instances
}

// Ended records that an instance has ended, and returns the fingerprints of its
// pending exchanges. It has no effect if there are none.
func (a *Attributor) Ended(now time.Time, instance model.InstanceID) []model.Fingerprint {
	if len(a.pending[instance]) == 0 {
		return nil
	}
	a.expire(now)
	a.RecordEnd(now, instance, now)
	var fingerprints []model.Fingerprint
	for _, x := range a.pending[instance] {
		fingerprints = append(fingerprints, x.fingerprint)
	}
	a.drop(instance)
	return fingerprints
}

// RecordEnd records the end of an instance that others have found. An earlier record
// of the same instance stays.
func (a *Attributor) RecordEnd(now time.Time, instance model.InstanceID, at time.Time) {
	if _, known := a.ends[instance]; known {
		return
	}
	if len(a.ends) >= maxEnds {
		for other, at := range a.ends {
			if now.Sub(at) > endRetention {
				delete(a.ends, other)
			}
		}
	}
	if len(a.ends) < maxEnds {
		a.ends[instance] = at
	}
}

// EndedLately reports whether an instance is known to have ended within the time for which
// its row may outlive it. Later than that, an instance that is still listed is probably alive.
func (a *Attributor) EndedLately(now time.Time, instance model.InstanceID) bool {
	at, known := a.ends[instance]
	return known && now.Sub(at) <= pendingWindow
}

// EndCount returns the number of instances that are known to have ended.
func (a *Attributor) EndCount() int { return len(a.ends) }

// MarkAlive records that an instance was alive at the given time. It reports whether
// that refutes a recorded end.
func (a *Attributor) MarkAlive(instance model.InstanceID, at time.Time) bool {
	end, known := a.ends[instance]
	if !known || !at.After(end) {
		return false
	}
	delete(a.ends, instance)
	return true
}

func (a *Attributor) drop(instance model.InstanceID) {
	a.count -= len(a.pending[instance])
	delete(a.pending, instance)
}

// expire drops the exchanges that have been pending for longer than pendingWindow.
func (a *Attributor) expire(now time.Time) {
	a.lastExpiry = now
	for instance, exchanges := range a.pending {
		kept := exchanges[:0]
		for _, x := range exchanges {
			if now.Sub(x.at) <= pendingWindow {
				kept = append(kept, x)
			}
		}
		a.count -= len(exchanges) - len(kept)
		if len(kept) == 0 {
			delete(a.pending, instance)
			continue
		}
		a.pending[instance] = kept
	}
}
