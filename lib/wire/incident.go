package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Incident is one crash of a backend server with a suspect in flight.
type Incident struct {
	Instance    model.InstanceID `msgpack:"i"`
	Generation  model.Generation `msgpack:"g"`
	Incarnation uint64           `msgpack:"n"`
	// Cleared is set for good once a later run of the request succeeded.
	Cleared bool `msgpack:"c"`
	// AgeMillis is the time since the crash was first reported, in milliseconds.
	AgeMillis int64 `msgpack:"a"`
}
