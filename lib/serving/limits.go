package serving

import "time"

// Limits restricts requests of callers. Zero fields mean no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is the time within which the request header must be complete.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}
