package caller

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Result is the final result of a request.
type Result struct {
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// Status is the HTTP status of the backend server, or 0 if it did not respond.
	Status int
	// ContentType is the content type of a complete response.
	ContentType string
	// RetryAfter tells the caller when to retry; 0 gives no advice.
	RetryAfter time.Duration
	// Frames and Digest are the verified number of frames and digest of the
	// response.
	Frames uint64
	Digest model.Digest
	// ClaimProof must be sent by the caller with a retry under the same
	// idempotency key.
	ClaimProof string
	// Detail is a message for the caller, for example what is wrong with an
	// invalid request.
	Detail string
}
