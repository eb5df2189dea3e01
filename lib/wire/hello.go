package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ProtocolVersion is sent in Hello. Peers with another version are rejected.
const ProtocolVersion = 1

// Role is the kind of process that sends a Hello.
type Role uint8

const (
	// RoleEntry is the role of an entry.
	RoleEntry Role = 1
	// RoleAgent is the role of an agent.
	RoleAgent Role = 2
)

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Version  int            `msgpack:"v"`
	Role     Role           `msgpack:"r"`
	Identity model.Identity `msgpack:"i"`
	// Pool is the name of the agent's group of instances. Entries leave it empty.
	Pool string `msgpack:"p"`
	// StartUnixMilli is when the process of an agent has started. Entries leave it empty, and
	// so do agents of earlier releases.
	StartUnixMilli int64 `msgpack:"s,omitempty"`
}

// Type returns TypeHello.
func (*Hello) Type() Type { return TypeHello }
