package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// replacedRetention is how long replaced generations are remembered. It only has to
// exceed the delay of late messages, which is a few seconds.
const replacedRetention = 10 * time.Minute

// instanceGeneration identifies one generation of an instance.
type instanceGeneration struct {
	instance   model.InstanceID
	generation model.Generation
}

// replacedSet holds the generations that were replaced, and when.
type replacedSet map[instanceGeneration]time.Time

func (r replacedSet) add(now time.Time, id model.InstanceID, g model.Generation) {
	r[instanceGeneration{id, g}] = now
}

func (r replacedSet) contains(id model.InstanceID, g model.Generation) bool {
	_, ok := r[instanceGeneration{id, g}]
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
