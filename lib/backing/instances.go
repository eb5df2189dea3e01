package backing

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/model"
)

// InstanceRole says which program runs on an instance.
type InstanceRole string

const (
	// RoleEntry marks an entry instance.
	RoleEntry InstanceRole = "entry"
	// RoleAgent marks a backend server instance.
	RoleAgent InstanceRole = "agent"
)

// Instance is one line of the platform's list.
type Instance struct {
	ID       model.InstanceID `json:"id"`
	Role     InstanceRole     `json:"role"`
	Location model.Location   `json:"location"`
	// Address is the IP address and port of the process's peer listener.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Pool names the agent's group of instances, as its settings do. It is
	// empty for entries and where the platform does not know it. Entries need
	// it before they connect, to choose agents of each pool.
	Pool string `json:"pool,omitempty"`
}

// InstanceList is the platform's list of live and leaving instances. It lags:
// it may show instances that are gone and miss new ones.
type InstanceList interface {
	List(ctx context.Context) ([]Instance, error)
}
