package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Incident is a crash of a backend server while a suspect was in flight.
type Incident struct {
	Instance    model.InstanceID `msgpack:"i"`
	Generation  model.Generation `msgpack:"g"`
	Incarnation uint64           `msgpack:"n"`
	// Cleared is true if a later run of the request succeeded. It is never reset.
	Cleared bool `msgpack:"c"`
	// AgeMillis is the time since the crash was first reported, in milliseconds.
	AgeMillis int64 `msgpack:"a"`
}
