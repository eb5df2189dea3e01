package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// entryID identifies one generation of an entry.
type entryID struct {
	instance   model.InstanceID
	generation model.Generation
}

// before reports whether e has precedence over other if both plan to run the same
// suspect.
func (e entryID) before(other entryID) bool {
	if e.instance != other.instance {
		return e.instance < other.instance
	}
	return e.generation < other.generation
}

// run is the last announcement of one entry about a suspect.
type run struct {
	sequence   uint64
	planned    bool
	running    []model.InstanceID
	receivedAt time.Time
}
