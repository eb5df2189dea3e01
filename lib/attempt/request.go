package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Request is what the Machine needs to know about a caller's request.
type Request struct {
	ID     model.RequestID
	Tenant model.Tenant
	// Deadline is the time of the entry's clock after which no answer counts.
	Deadline time.Time
	// Hop is the number of dispatches on the request's way to this entry.
	Hop int
	// Repeatable allows a second run after an attempt that may have run.
	Repeatable bool
	// Buffered says that the entry holds the answer back until the finish, so
	// that the caller has no byte of an attempt that is given up. Plain services
	// need it: their HTTP status arrives with the end.
	Buffered bool
	// Continue allows a stream to go on with another attempt after bytes reached
	// the caller. It is meant for services whose answers are reproducible.
	Continue bool
}

// Dispatch names the attempt that was sent to an agent.
type Dispatch struct {
	Attempt  model.AttemptID
	Instance model.InstanceID
	Weights  model.Weights
}
