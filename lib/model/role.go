package model

// Role is the part of requests that the engine of an instance runs.
type Role string

const (
	// RoleMixed runs complete requests. It is the zero value, so that the encoding of
	// data without a role does not change.
	RoleMixed Role = ""
	// RolePrefill processes prompts only.
	RolePrefill Role = "prefill"
	// RoleDecode continues streams only.
	RoleDecode Role = "decode"
)

// mixedName is the name of RoleMixed in String and ParseRole.
const mixedName = "mixed"

// ParseRole parses the name of a role. It accepts any name; use Valid to check the
// result.
func ParseRole(name string) Role {
	if name == mixedName {
		return RoleMixed
	}
	return Role(name)
}

// Valid reports whether the role is one of the constants.
func (r Role) Valid() bool { return r == RoleMixed || r == RolePrefill || r == RoleDecode }

// String returns the name that operators use.
func (r Role) String() string {
	if r == RoleMixed {
		return mixedName
	}
	return string(r)
}
