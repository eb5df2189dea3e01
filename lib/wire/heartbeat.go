package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Heartbeat is sent every second in both directions.
type Heartbeat struct {
	Sequence       uint64       `msgpack:"s"`
	ConfigRevision uint64       `msgpack:"c"`
	ConfigDigest   model.Digest `msgpack:"d"`
	// ConfigAgeMillis is the time since the store confirmed, directly or through
	// peers, that ConfigRevision was the newest, in milliseconds.
	ConfigAgeMillis int64 `msgpack:"g"`
	Draining        bool  `msgpack:"x"`
	// Probe asks the receiver for a heartbeat at once.
	Probe bool `msgpack:"p,omitempty"`
	// LiveWeights holds the weights that the instance may serve; empty from entries.
	LiveWeights []model.Weights `msgpack:"w"`
	Load        Load            `msgpack:"l"`
	// Role is the role of an agent's engine. The instance takes requests only
	// while it is mixed.
	Role model.Role `msgpack:"o,omitempty"`
}

// Type returns TypeHeartbeat.
func (*Heartbeat) Type() Type { return TypeHeartbeat }
