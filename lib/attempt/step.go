package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Step is the answer to one event. The zero value waits.
type Step struct {
	Action Action

	// Forward says that the data of the frame that made this step belongs to the
	// answer, from byte Skip on. The entry passes it to the caller, or keeps it
	// when the request is buffered.
	Forward bool
	// SkipBytes is the number of leading bytes of the frame that the caller has.
	SkipBytes int
	// Discard tells a buffered request to drop what it has kept so far.
	Discard bool

	// Cancel names an attempt that the agent shall stop; it is empty for none.
	Cancel model.AttemptID

	// Attempt and Next describe a reattach.
	Attempt      model.AttemptID
	NextSequence uint64

	// Weights restricts a dispatch to instances with exactly these weights when
	// Pinned is set: the answer continues a stream that they began.
	Weights model.Weights
	Pinned  bool

	// Outcome, Reason and RetryAfter are the final answer of a finish.
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Status and ContentType are the backend server's, when it answered.
	Status      int
	ContentType string
	// OutcomePending says that the attempt may still run to its end although the
	// caller has its final answer: the entry keeps passing events on until a
	// step with ActionRecord arrives.
	OutcomePending bool
}
