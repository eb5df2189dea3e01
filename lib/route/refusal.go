package route

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Refusal says that no instance can take a request now. The request was not
// run.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Deferred is true when an instance is free, but the request should wait for a
	// better one.
	Deferred bool
}

// Error returns the reason.
func (r *Refusal) Error() string { return "no instance picked: " + string(r.Reason) }
