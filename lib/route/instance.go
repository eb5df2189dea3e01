package route

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// Role is the phase of text generation that an engine runs.
type Role uint8

const (
	// RoleAny runs prefill and decode, or is a plain service.
	RoleAny Role = iota
	// RolePrefill runs prefill only.
	RolePrefill
	// RoleDecode runs decode only.
	RoleDecode
)

// serves reports whether an instance with role r can run work that requires
// role wanted.
func (r Role) serves(wanted Role) bool { return r == RoleAny || r == wanted }

// Instance describes one backend server instance.
type Instance struct {
	ID         model.InstanceID
	Generation model.Generation
	Location   model.Location
	Pool       string
	Role       Role
	// Live holds the weights that the instance may serve. It is empty for plain
	// services, whose requests have no weights.
	Live     []model.Weights
	Draining bool
}

// Key identifies one generation of an instance.
type Key struct {
	Instance   model.InstanceID
	Generation model.Generation
}

// Key returns the key of the instance.
func (i *Instance) Key() Key { return Key{i.ID, i.Generation} }
