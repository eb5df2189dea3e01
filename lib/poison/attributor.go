package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// pendingWindow is how long an exchange without an answer waits for a sign that
	// its server has ended: rows of crashed servers lapse after three of
	// their heartbeats, which come every one or two seconds, and are then read.
	pendingWindow = 8 * time.Second
	// endMemory is how long the end of an instance is remembered.
	endMemory = time.Minute
	// expireInterval bounds the work for each of many exchanges.
	expireInterval = 100 * time.Millisecond
	// maxPending and maxEnds bound what is remembered.
	maxPending = 4096
	maxEnds    = 1024
)

// Attributor attributes the ends of instances to what they were running where
// nothing on the instance reports crashes. An exchange without an answer shows
// little: a link may have reset its connection. It counts once the instance has ended
// as well.
//
// An Attributor is not safe for concurrent use.
type Attributor struct {
	// pending are the exchanges whose instance has given no sign, count their number.
	pending map[model.InstanceID][]interrupted
	count   int
	// expired is when the pending ones were looked through last.
	expired time.Time
	// ends is when instances are believed to have ended.
	ends map[model.InstanceID]time.Time
}

// interrupted is an exchange without an answer.
type interrupted struct {
	finger model.Fingerprint
	at     time.Time
}

// NewAttributor returns an Attributor that knows nothing.
func NewAttributor() *Attributor {
	return &Attributor{pending: make(map[model.InstanceID][]interrupted), ends: make(map[model.InstanceID]time.Time)}
}

// Interrupted records an exchange that ended without an answer. ended reports
// whether the instance is believed to have ended, so that the crash counts at once;
// first reports whether it is the first exchange with the instance that waits for a
// sign.
func (a *Attributor) Interrupted(now time.Time, instance model.InstanceID, finger model.Fingerprint) (ended, first bool) {
	if at, known := a.ends[instance]; known && now.Sub(at) <= pendingWindow {
		return true, false
	}
	if now.Sub(a.expired) >= expireInterval {
		a.expire(now)
	}
	if a.count >= maxPending {
		return false, false
	}
	a.count++
	a.pending[instance] = append(a.pending[instance], interrupted{finger, now})
	return false, len(a.pending[instance]) == 1
}

// Pending returns the instances of exchanges that wait for a sign.
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

// Ended records that an instance with exchanges that wait has ended, and returns what
// it was running.
func (a *Attributor) Ended(now time.Time, instance model.InstanceID) []model.Fingerprint {
	if len(a.pending[instance]) == 0 {
		return nil
	}
	a.expire(now)
	a.RecordEnd(now, instance, now)
	var fingers []model.Fingerprint
	for _, x := range a.pending[instance] {
		fingers = append(fingers, x.finger)
	}
	a.drop(instance)
	return fingers
}

// RecordEnd takes the end of an instance that others have found.
func (a *Attributor) RecordEnd(now time.Time, instance model.InstanceID, at time.Time) {
	if _, known := a.ends[instance]; known {
		return
	}
	if len(a.ends) >= maxEnds {
		for other, at := range a.ends {
			if now.Sub(at) > endMemory {
				delete(a.ends, other)
			}
		}
	}
	if len(a.ends) < maxEnds {
		a.ends[instance] = at
	}
}

// EndCount returns the number of instances that are believed to have ended.
func (a *Attributor) EndCount() int { return len(a.ends) }

// MarkAlive takes a sign of life that an instance gave at a moment. It reports whether
// the instance was believed to have ended before that.
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

// expire drops the exchanges whose instance has given no sign in time.
func (a *Attributor) expire(now time.Time) {
	a.expired = now
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
