package backing

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/model"
)

// InstanceRole is the program that runs on an instance.
type InstanceRole string

const (
	// RoleEntry is an instance with an entry.
	RoleEntry InstanceRole = "entry"
	// RoleAgent is an instance with an agent and its backend server.
	RoleAgent InstanceRole = "agent"
)

// Instance is one item of the platform's instance list.
type Instance struct {
	ID       model.InstanceID `json:"id"`
	Role     InstanceRole     `json:"role"`
	Location model.Location   `json:"location"`
	// Address is the IP address and port of the process's peer listener.
	Address string `json:"address"`
	// Leaving is true for an instance that is being removed.
	Leaving bool `json:"leaving"`
	// Pool is the pool from the agent's settings. It is empty for entries and if the
	// platform does not know it. Entries need it before they connect, to choose
	// agents of each pool.
	Pool string `json:"pool,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. It is eventually
// consistent: it may contain instances that no longer exist and lack new ones.
type InstanceList interface {
	// List returns all instances. On failure it returns ErrUnavailable.
	List(ctx context.Context) ([]Instance, error)
}
