package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Request holds the properties of a caller's request that the Machine needs.
type Request struct {
	ID     model.RequestID
	Tenant model.Tenant
	// Deadline is the deadline of the request by the entry's clock.
	Deadline time.Time
	// Hop is the number of dispatches before the request reached this entry.
	Hop int
	// Repeatable allows another run after an attempt that may have run.
	Repeatable bool
	// Buffered indicates that the entry buffers the response until ActionFinish,
	// so that no byte of an abandoned attempt reaches the caller. Plain services
	// require it, because their HTTP status arrives with the end.
	Buffered bool
	// Continue allows a stream to continue with another attempt after bytes have
	// reached the caller. It is meant for services with reproducible responses.
	Continue bool
}

// Dispatch identifies an attempt and the instance and weights it is sent to.
type Dispatch struct {
	Attempt  model.AttemptID
	Instance model.InstanceID
	Weights  model.Weights
}
