package poison

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// incidentID identifies one crash of one backend server.
type incidentID struct {
	instance    model.InstanceID
	generation  model.Generation
	incarnation uint64
}

// incident is the record of a crash. When updates are merged, first only becomes
// earlier and cleared only becomes true.
type incident struct {
	first   time.Time
	cleared bool
}
