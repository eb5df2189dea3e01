package relay

import (
	"net/netip"
	"slices"
)

// maxStandbys is the number of instances that a follower queries, one after the other, before
// it reads the store by itself.
const maxStandbys = 2

// Role determines where an instance reads a table from and whether others
// follow it.
type Role struct {
	// Upstream is the instance to query. If it is not valid, this instance
	// reads the store directly.
	Upstream netip.AddrPort
	// Standbys are the instances to query, in this order, while Upstream cannot be followed.
	// Those that are not valid are left out. An instance without an Upstream takes the table
	// from them when it starts.
	Standbys [maxStandbys]netip.AddrPort
	// HasFollowers is true if other instances query this one.
	HasFollowers bool
	// Pending is true if the other instances of the region are not known yet.
	Pending bool
}

// RoleIn returns the role of an instance in a region whose instances are ranked. An instance
// follows only those before it, so that no two of them wait for each other.
func RoleIn(ranked []netip.AddrPort, self netip.AddrPort) Role {
	if ranked[0] == self {
		role := Role{HasFollowers: true}
		copy(role.Standbys[:], ranked[1:])
		return role
	}
	role := Role{Upstream: ranked[0]}
	if own := slices.Index(ranked, self); own > 1 {
		copy(role.Standbys[:], ranked[1:own])
	}
	return role
}

// known reports whether the role follows from other instances of the region.
func (r Role) known() bool { return r.Upstream.IsValid() || r.HasFollowers }
