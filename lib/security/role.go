package security

// Role is a role that certificate names can be authorised for.
type Role string

const (
	// RoleEntry is the role of entry daemons.
	RoleEntry Role = "entry"
	// RoleAgent is the role of agent daemons.
	RoleAgent Role = "agent"
	// RoleOperator is the role of operators and their tools.
	RoleOperator Role = "operator"
)
