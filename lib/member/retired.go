package member

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// retiredFor is how long a replaced generation is remembered. It only has to
// outlast messages that are still on their way, which is seconds.
const retiredFor = 10 * time.Minute

// incarnation is one generation of an instance.
type incarnation struct {
	instance   model.InstanceID
	generation model.Generation
}

// retiredSet remembers the generations that were replaced, and when.
type retiredSet map[incarnation]time.Time

func (r retiredSet) add(now time.Time, id model.InstanceID, g model.Generation) {
	r[incarnation{id, g}] = now
}

func (r retiredSet) contains(id model.InstanceID, g model.Generation) bool {
	_, ok := r[incarnation{id, g}]
	return ok
}

func (r retiredSet) prune(now time.Time) {
	for key, at := range r {
		if now.Sub(at) > retiredFor {
			delete(r, key)
		}
	}
}
