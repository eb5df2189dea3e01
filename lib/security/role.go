package security

// Role is what a certificate name may act as.
type Role string

const (
	// RoleEntry is an entry daemon.
	RoleEntry Role = "entry"
	// RoleAgent is an agent daemon.
	RoleAgent Role = "agent"
	// RoleOperator is an operator or one of the operators' tools.
	RoleOperator Role = "operator"
)
