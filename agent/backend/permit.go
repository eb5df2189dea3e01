package backend

import "time"

// Permit is the answer to a request for a permit to replace the live weights.
type Permit struct {
	Granted bool
	// TTL is how long a granted permit is valid, counted from its request at the least. It
	// may then be granted to another instance.
	TTL time.Duration
	// Retry is the time after which to request a denied permit again.
	Retry time.Duration
}

// validAfter reports whether the permit may be used some time after it was requested.
func (p Permit) validAfter(d time.Duration) bool { return p.Granted && d < p.TTL }
