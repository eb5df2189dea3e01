package route

// Result is the result of an attempt, as far as it concerns the health of the
// instance.
type Result uint8

const (
	// ResultOK is a complete answer.
	ResultOK Result = iota
	// ResultError is an error of the backend server. Config.EjectThreshold
	// consecutive errors eject it.
	ResultError
	// ResultNeutral allows no conclusion about the backend server: a refusal by
	// the agent, a cancellation, or a lost connection. lib/member judges lost
	// connections and distinguishes a network fault from a dead backend server.
	ResultNeutral
)
