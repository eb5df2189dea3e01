package wire

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// ProtocolVersion is sent in Hello. Peers with another version are refused.
const ProtocolVersion = 1

// Role says what the sender of a Hello is.
type Role uint8

const (
	// RoleEntry is an entry daemon.
	RoleEntry Role = 1
	// RoleAgent is an agent daemon.
	RoleAgent Role = 2
)

// Hello opens a connection in both directions.
type Hello struct {
	Version  int            `msgpack:"v"`
	Role     Role           `msgpack:"r"`
	Identity model.Identity `msgpack:"i"`
	// Pool names the agent's group of instances; entries leave it empty.
	Pool string `msgpack:"p"`
}

// Type returns TypeHello.
func (*Hello) Type() Type { return TypeHello }
