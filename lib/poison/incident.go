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

// incident is what is known of a crash. Both fields only move one way: first
// becomes earlier, cleared becomes true.
type incident struct {
	first   time.Time
	cleared bool
}
