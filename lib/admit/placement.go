package admit

// Placement is the result of the function passed to Queue.Next.
type Placement uint8

const (
	// Placed means that the request was started.
	Placed Placement = iota
	// Deferred means that an instance is available but the request waits for a
	// better one. Other requests may overtake it by at most Config.MaxOvertake
	// tokens.
	Deferred
	// Blocked means that no backend server can accept the request now.
	Blocked
)
