package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// SuspectRun is one entry's state of running a suspect. The highest sequence
// number of an entry's generation counts.
type SuspectRun struct {
	Entry      model.InstanceID   `msgpack:"e"`
	Generation model.Generation   `msgpack:"g"`
	Sequence   uint64             `msgpack:"s"`
	Planned    bool               `msgpack:"x"`
	Running    []model.InstanceID `msgpack:"r"`
}
