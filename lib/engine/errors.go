package engine

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotStarted means that the request certainly did not start: it was
	// never sent, or the backend server refused it before running it.
	ErrNotStarted = merry.New("request not started")
	// ErrMayHaveRun means that the request was sent and its answer is missing
	// or incomplete.
	ErrMayHaveRun = merry.New("request may have run")
	// ErrIncomplete means that an answer lacks its end, or that its frames do
	// not match its end. Such an answer may have run too.
	ErrIncomplete = merry.New("answer incomplete")
	// ErrWeightsMismatch means that the backend server has other weights than
	// the request, stream or cache names.
	ErrWeightsMismatch = merry.New("weights mismatch")
	// ErrWrongRequest means that the answer belongs to another request.
	ErrWrongRequest = merry.New("answer of another request")
	// ErrUnavailable means that a read of state or load was not answered.
	ErrUnavailable = merry.New("backend server unavailable")
	// ErrNoLoadReport means that a plain service reports no load.
	ErrNoLoadReport = merry.New("service reports no load")
	// ErrTooLarge means that an answer is longer than this process accepts.
	ErrTooLarge = merry.New("answer too large")
)

// Refusal reasons that engines give.
const (
	RefusalWeights  = "weights_mismatch"
	RefusalFenced   = "old_fencing_number"
	RefusalBusy     = "busy"
	RefusalStream   = "unknown_stream"
	RefusalLoading  = "loading"
	RefusalDeadline = "deadline"
)

// RefusedError is an explicit refusal of the backend server.
type RefusedError struct {
	Status int
	// Reason is one of the refusal reasons or free text.
	Reason string
	// RetryAfter is zero when the backend server named no time.
	RetryAfter time.Duration
}

// Error returns status and reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Reason)
}

// Is makes a refusal for other weights match ErrWeightsMismatch.
func (e *RefusedError) Is(target error) bool {
	return e.Reason == RefusalWeights && target == ErrWeightsMismatch //nolint:errorlint // Is must compare
}

// NotStarted reports whether err proves that the request did not start. Any
// other error means that it may have run, also one that holds both verdicts,
// such as a refused resume of a stream that was started before.
func NotStarted(err error) bool {
	return errors.Is(err, ErrNotStarted) && !errors.Is(err, ErrMayHaveRun)
}

func notStarted(cause error) error { return because(ErrNotStarted, cause) }

func mayHaveRun(cause error) error { return because(ErrMayHaveRun, cause) }

// because wraps a verdict with its cause, whose text the message includes.
func because(verdict, cause error) error {
	return merry.Wrap(verdict, merry.AppendMessage(cause.Error()), merry.WithCause(cause))
}

// AsRefused returns the explicit refusal inside err, if there is one.
func AsRefused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}
