package caller

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Result is the final state of a request.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Status is the HTTP status of the backend server, where it answered.
	Status int
	// ContentType is that of a whole answer.
	ContentType string
	// RetryAfter tells the caller when to come back; zero gives no advice.
	RetryAfter time.Duration
	// Frames and Digest are the checked length and digest of the answer.
	Frames uint64
	Digest model.Digest
	// ClaimProof is for the caller to present when it asks again with the same
	// idempotency key.
	ClaimProof string
	// Detail says in words what was wrong with an invalid request.
	Detail string
}
