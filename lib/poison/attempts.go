package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// attempts counts this entry's attempts of one fingerprint that are in flight, by
// instance.
type attempts struct {
	running map[model.InstanceID]int
	// lost holds the instances on which an attempt was lost, and until when the attempt
	// counts as running.
	lost map[model.InstanceID]time.Time
	// lastLost is when an attempt was last lost.
	lastLost time.Time
}

func newAttempts() *attempts {
	return &attempts{running: make(map[model.InstanceID]int, 1)}
}

func (a *attempts) markLost(instance model.InstanceID, now, until time.Time) {
	if a.lost == nil {
		a.lost = make(map[model.InstanceID]time.Time, 1)
	}
	a.lost[instance] = until
	a.lastLost = now
}

func (a *attempts) finish(instance model.InstanceID) {
	if a.running[instance]--; a.running[instance] <= 0 {
		delete(a.running, instance)
	}
}

// expire drops lost attempts that no longer count as running. It reports whether any
// attempt is left.
func (a *attempts) expire(now time.Time) bool {
	for instance, until := range a.lost {
		if !now.Before(until) {
			delete(a.lost, instance)
		}
	}
	return len(a.running)+len(a.lost) > 0
}

// instances returns the instances on which the fingerprint runs or may run.
func (a *attempts) instances() []model.InstanceID {
	out := make([]model.InstanceID, 0, len(a.running)+len(a.lost))
	for instance := range a.running {
		out = append(out, instance)
	}
	for instance := range a.lost {
		if a.running[instance] == 0 {
			out = append(out, instance)
		}
	}
	return out
}
