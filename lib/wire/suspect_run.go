package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// SuspectRun states whether an entry is running a suspect or plans to. For each
// generation of an entry, the one with the highest sequence number applies.
type SuspectRun struct {
	Entry      model.InstanceID `msgpack:"e"`
	Generation model.Generation `msgpack:"g"`
	Sequence   uint64           `msgpack:"s"`
	Planned    bool             `msgpack:"x"`
	// Running lists the instances on which the suspect is running.
	Running []model.InstanceID `msgpack:"r"`
}
