package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Step is what the entry must do after an event. The zero value means to wait
// for the next event.
type Step struct {
	Action Action

	// Forward indicates that the data of the reported frame belongs to the
	// response, starting at byte SkipBytes. The entry passes it to the caller, or
	// buffers it if the request is buffered.
	Forward bool
	// SkipBytes is the number of leading bytes of the frame that the caller
	// already has.
	SkipBytes int
	// Discard tells the entry to drop what it has buffered so far.
	Discard bool

	// Cancel is the attempt that the agent should cancel, or empty.
	Cancel model.AttemptID

	// Attempt and NextSequence are the parameters of a reattach.
	Attempt      model.AttemptID
	NextSequence uint64

	// Weights restricts a dispatch to instances with exactly these weights if
	// Pinned is set, because the response continues a stream that they started.
	Weights model.Weights
	Pinned  bool

	// Outcome, Reason and RetryAfter form the final response.
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Status and ContentType are those of the backend server, if it responded.
	Status      int
	ContentType string
	// OutcomePending indicates that the attempt may still complete although the
	// caller has its final response. The entry must continue to report events
	// until a step with ActionRecord is returned.
	OutcomePending bool
}
