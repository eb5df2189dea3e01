package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

const (
	// cutWindow is how long a connection without its answer waits for a
	// sign that its server has ended: rows of crashed servers lapse after three of
	// their heartbeats, which come every one or two seconds, and are then read.
	cutWindow = 8 * time.Second
	// endMemory is how long the end of an instance is remembered.
	endMemory = time.Minute
	// expireInterval bounds the work for each of many connections.
	expireInterval = 100 * time.Millisecond
	// maxCuts and maxEnds bound what is remembered.
	maxCuts = 4096
	maxEnds = 1024
)

// Cuts attributes the ends of instances to what they were running where nothing on
// the instance reports crashes. A connection that ends before its answer shows
// little: a link may have reset it. It counts once the instance has ended as well.
//
// Cuts is not safe for concurrent use.
type Cuts struct {
	// pending are the connections without an answer whose instance has given no sign, count their
	// number.
	pending map[model.InstanceID][]cut
	count   int
	// expired is when the pending ones were looked through last.
	expired time.Time
	// ends is when instances are believed to have ended.
	ends map[model.InstanceID]time.Time
}

// cut is a connection that ended before its answer.
type cut struct {
	finger model.Fingerprint
	at     time.Time
}

// NewCuts returns a Cuts that knows nothing.
func NewCuts() *Cuts {
	return &Cuts{pending: make(map[model.InstanceID][]cut), ends: make(map[model.InstanceID]time.Time)}
}

// Cut records a connection that ended before its answer. ended reports whether the
// instance is believed to have ended, so that the crash counts at once; first
// reports whether it is the first connection to the instance that waits for a sign.
func (c *Cuts) Cut(now time.Time, instance model.InstanceID, finger model.Fingerprint) (ended, first bool) {
	if at, known := c.ends[instance]; known && now.Sub(at) <= cutWindow {
		return true, false
	}
	if now.Sub(c.expired) >= expireInterval {
		c.expire(now)
	}
	if c.count >= maxCuts {
		return false, false
	}
	c.count++
	c.pending[instance] = append(c.pending[instance], cut{finger, now})
	return false, len(c.pending[instance]) == 1
}

// Pending returns the instances of connections that wait for a sign.
func (c *Cuts) Pending(now time.Time) []model.InstanceID {
	if c.count == 0 {
		return nil
	}
	c.expire(now)
	instances := make([]model.InstanceID, 0, len(c.pending))
	for instance := range c.pending {
		instances = append(instances, instance)
	}
	return instances
}

// Ended records that an instance with cut connections has ended, and returns what
// it was running.
func (c *Cuts) Ended(now time.Time, instance model.InstanceID) []model.Fingerprint {
	if len(c.pending[instance]) == 0 {
		return nil
	}
	c.expire(now)
	c.Learn(now, instance, now)
	var fingers []model.Fingerprint
	for _, cut := range c.pending[instance] {
		fingers = append(fingers, cut.finger)
	}
	c.drop(instance)
	return fingers
}

// Learn takes the end of an instance that others have found.
func (c *Cuts) Learn(now time.Time, instance model.InstanceID, at time.Time) {
	if _, known := c.ends[instance]; known {
		return
	}
	if len(c.ends) >= maxEnds {
		for other, at := range c.ends {
			if now.Sub(at) > endMemory {
				delete(c.ends, other)
			}
		}
	}
	if len(c.ends) < maxEnds {
		c.ends[instance] = at
	}
}

// Ends returns the number of instances that are believed to have ended.
func (c *Cuts) Ends() int { return len(c.ends) }

// Alive takes a sign of life that an instance gave at a moment. It reports whether
// the instance was believed to have ended before that.
func (c *Cuts) Alive(instance model.InstanceID, at time.Time) bool {
	end, known := c.ends[instance]
	if !known || !at.After(end) {
		return false
	}
	delete(c.ends, instance)
	return true
}

func (c *Cuts) drop(instance model.InstanceID) {
	c.count -= len(c.pending[instance])
	delete(c.pending, instance)
}

// expire drops the connections whose instance has given no sign in time.
func (c *Cuts) expire(now time.Time) {
	c.expired = now
	for instance, cuts := range c.pending {
		kept := cuts[:0]
		for _, cut := range cuts {
			if now.Sub(cut.at) <= cutWindow {
				kept = append(kept, cut)
			}
		}
		c.count -= len(cuts) - len(kept)
		if len(kept) == 0 {
			delete(c.pending, instance)
			continue
		}
		c.pending[instance] = kept
	}
}
