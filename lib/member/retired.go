package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// replacedRetention is how long replaced generations are remembered. It only has to
// exceed the delay of late messages, which is a few seconds.
const replacedRetention = 10 * time.Minute

// incarnation is one generation of an instance.
type incarnation struct {
	instance   model.InstanceID
	generation model.Generation
}

// replacedSet holds the generations that were replaced, and when.
type replacedSet map[incarnation]time.Time

func (r replacedSet) add(now time.Time, id model.InstanceID, g model.Generation) {
	r[incarnation{id, g}] = now
}

func (r replacedSet) contains(id model.InstanceID, g model.Generation) bool {
	_, ok := r[incarnation{id, g}]
	return ok
}

// prune removes the generations that were replaced more than replacedRetention ago.
func (r replacedSet) prune(now time.Time) {
	for key, at := range r {
		if now.Sub(at) > replacedRetention {
			delete(r, key)
		}
	}
}
