package dispatch

import (
	"time"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// grant is what a waiting request gets: a place, or why there is none.
type grant struct {
	slot       *fleet.Slot
	reason     outcome.Reason
	retryAfter time.Duration
}

// waiter is one request in a queue.
type waiter struct {
	id           model.RequestID
	pool         string
	requirements fleet.Requirements
	// granted has room for one grant, so that the queue never blocks on it.
	granted chan grant
}
