package engine

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
)

var (
	// ErrNotStarted means that the request provably did not start: it was never
	// sent, or the backend server refused it before running it.
	ErrNotStarted = merry.New("request not started")
	// ErrMayHaveRun means that the request was sent, but its response is
	// missing or incomplete.
	ErrMayHaveRun = merry.New("request may have run")
	// ErrIncomplete means that a response is truncated or malformed, or that its
	// frames do not match its end event. The request may have run.
	ErrIncomplete = merry.New("incomplete response")
	// ErrWeightsMismatch means that the backend server's weights differ from
	// those that the request, stream or KV cache names.
	ErrWeightsMismatch = merry.New("backend server has other weights than those named")
	// ErrWrongRequest means that the response belongs to another request.
	ErrWrongRequest = merry.New("response belongs to another request")
	// ErrUnavailable means that a read of state, load or cache failed.
	ErrUnavailable = merry.New("backend server unavailable")
	// ErrNoLoadReport means that a plain service does not provide load reports.
	ErrNoLoadReport = merry.New("service has no load report")
	// ErrTooLarge means that a response exceeds the size limit.
	ErrTooLarge = merry.New("response too large")
)

// Reasons with which engines refuse a request or an order.
const (
	RefusalWeights  = "weights_mismatch"
	RefusalFenced   = "old_fencing_number"
	RefusalBusy     = "busy"
	RefusalStream   = "unknown_stream"
	RefusalLoading  = "loading"
	RefusalDeadline = "deadline"
)

// RefusedError reports that the backend server refused a request or an order.
type RefusedError struct {
	// Status is the HTTP status; 0 for an error event within a stream.
	Status int
	// Reason is one of the Refusal constants or free text.
	Reason string
	// RetryAfter is zero if the response has no Retry-After header.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("rejected with status %d: %s", e.Status, e.Reason)
}

// Is makes a refusal with RefusalWeights match ErrWeightsMismatch.
func (e *RefusedError) Is(target error) bool {
	return e.Reason == RefusalWeights && target == ErrWeightsMismatch //nolint:errorlint // Is must compare
}

// NotStarted reports whether err proves that the request did not start. After any
// other error it may have run. That includes errors that wrap both ErrNotStarted
// and ErrMayHaveRun, such as a rejected resume of a stream that had started.
func NotStarted(err error) bool {
	return errors.Is(err, ErrNotStarted) && !errors.Is(err, ErrMayHaveRun)
}

// TimedOut reports whether err means that the backend server did not respond in time. It
// may only be slow.
func TimedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, herrors.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout()
}

func notStarted(cause error) error { return wrapCause(ErrNotStarted, cause) }

func mayHaveRun(cause error) error { return wrapCause(ErrMayHaveRun, cause) }

// wrapCause returns kind with the cause attached and its text appended.
func wrapCause(kind, cause error) error {
	return merry.Wrap(kind, merry.AppendMessage(cause.Error()), merry.WithCause(cause))
}

// AsRefused returns the RefusedError that err wraps, if any.
func AsRefused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}
