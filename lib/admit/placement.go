package admit

// Placement is the answer of the function that Next offers requests to.
type Placement uint8

const (
	// Placed means that the request was started.
	Placed Placement = iota
	// Deferred means that the request could be started, but waits for a better
	// place. Others may overtake it by Config.Overtake only.
	Deferred
	// Blocked means that no backend server can take the request now.
	Blocked
)
