package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// flight counts this entry's running attempts of one fingerprint by instance.
type flight struct {
	running map[model.InstanceID]int
	// lost holds instances where an attempt was lost, and until when it counts
	// as running.
	lost map[model.InstanceID]time.Time
	// lastLost is when the last attempt was lost.
	lastLost time.Time
}

func newFlight() *flight {
	return &flight{running: make(map[model.InstanceID]int, 1)}
}

func (f *flight) lose(instance model.InstanceID, now, until time.Time) {
	if f.lost == nil {
		f.lost = make(map[model.InstanceID]time.Time, 1)
	}
	f.lost[instance] = until
	f.lastLost = now
}

func (f *flight) finish(instance model.InstanceID) {
	if f.running[instance]--; f.running[instance] <= 0 {
		delete(f.running, instance)
	}
}

// expire drops lost attempts whose hold has passed, and reports whether
// anything is left.
func (f *flight) expire(now time.Time) bool {
	for instance, until := range f.lost {
		if !now.Before(until) {
			delete(f.lost, instance)
		}
	}
	return len(f.running)+len(f.lost) > 0
}

// instances returns where the fingerprint runs or may run.
func (f *flight) instances() []model.InstanceID {
	out := make([]model.InstanceID, 0, len(f.running)+len(f.lost))
	for instance := range f.running {
		out = append(out, instance)
	}
	for instance := range f.lost {
		if f.running[instance] == 0 {
			out = append(out, instance)
		}
	}
	return out
}
