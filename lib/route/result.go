package route

// Result says how an attempt on an instance ended, as far as it tells about
// the instance.
type Result uint8

const (
	// ResultOK is a complete answer.
	ResultOK Result = iota
	// ResultError is an error of the backend server. Consecutive ones eject it.
	ResultError
	// ResultNeutral says nothing about the backend server: a refusal of the
	// agent, a cancellation, or a lost connection. A lost connection is judged
	// by lib/member, which tells a dead path from a dead backend server.
	ResultNeutral
)
