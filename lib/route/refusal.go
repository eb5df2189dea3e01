package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Refusal is the error returned if no instance can take a request now. The
// request was not run.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Deferred indicates that an instance is available but the request should
	// wait for a better one.
	Deferred bool
	// NoCandidate indicates that no instance may take the request now even if it has
	// capacity: all are excluded, ejected or keep to their rate limits.
	NoCandidate bool
}

// Error implements error.
func (r *Refusal) Error() string { return "no instance picked: " + string(r.Reason) }
