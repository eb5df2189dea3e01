package dispatch

import (
	"time"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// admissionResult is the result of waiting in a queue: a reserved slot, or the
// reason for a refusal.
type admissionResult struct {
	slot       *fleet.Slot
	reason     outcome.Reason
	retryAfter time.Duration
}

// waiter is a queued request.
type waiter struct {
	id           model.RequestID
	pool         string
	requirements fleet.Requirements
	deadline     time.Time
	// result has a buffer of one, so that sending to it never blocks.
	result chan admissionResult
}
