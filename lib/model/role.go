package model

// Role says which part of requests the engine of an instance runs.
type Role string

const (
	// RoleMixed runs whole requests. It is the zero value, so that what names no
	// role keeps its encoding.
	RoleMixed Role = ""
	// RolePrefill computes prompts only.
	RolePrefill Role = "prefill"
	// RoleDecode continues streams only.
	RoleDecode Role = "decode"
)

// mixed is the name of RoleMixed.
const mixed = "mixed"

// ParseRole reads a name; it accepts any and leaves it to Valid to refuse.
func ParseRole(name string) Role {
	if name == mixed {
		return RoleMixed
	}
	return Role(name)
}

// Valid reports whether the role is one of the constants.
func (r Role) Valid() bool { return r == RoleMixed || r == RolePrefill || r == RoleDecode }

// String returns the name that operators use.
func (r Role) String() string {
	if r == RoleMixed {
		return mixed
	}
	return string(r)
}
