package serving

import "time"

// Limits bound what a caller may send. Zero fields set no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is the time in which a request head must be complete.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}
