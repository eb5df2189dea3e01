package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Heartbeat is sent periodically in both directions. Package lib/heartbeat determines
// the interval.
type Heartbeat struct {
	Sequence       uint64       `msgpack:"s"`
	ConfigRevision uint64       `msgpack:"c"`
	ConfigDigest   model.Digest `msgpack:"d"`
	// ConfigAgeMillis is the time since the store confirmed, directly or through peers,
	// that ConfigRevision was the newest revision, in milliseconds.
	ConfigAgeMillis int64 `msgpack:"g"`
	Draining        bool  `msgpack:"x"`
	// Probe requests an immediate heartbeat from the receiver.
	Probe bool `msgpack:"p,omitempty"`
	// LiveWeights lists the weights for which the instance admits requests. Entries
	// leave it empty.
	LiveWeights []model.Weights `msgpack:"w"`
	Load        Load            `msgpack:"l"`
	// Role is the role of the agent's engine. The instance admits requests only if the
	// role is mixed.
	Role model.Role `msgpack:"o,omitempty"`
}

// Type returns TypeHeartbeat.
func (*Heartbeat) Type() Type { return TypeHeartbeat }
