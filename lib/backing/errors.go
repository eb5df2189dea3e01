package backing

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = merry.New("not found")
	// ErrNotApplied means that a write provably had no effect.
	ErrNotApplied = merry.New("write not applied")
	// ErrUnknown means that a write may have taken effect, because its response
	// was lost.
	ErrUnknown = merry.New("write outcome unknown")
	// ErrUnavailable means that a read failed.
	ErrUnavailable = merry.New("platform service unavailable")
	// ErrExists means that an object already exists.
	ErrExists = merry.New("object already exists")
)

// ConflictError reports that the condition of a write did not hold. No write of the
// transaction was applied.
type ConflictError struct {
	// Index is the position of the write in the transaction.
	Index int
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition of write %d not met", e.Index)
}

// ThrottledError reports that the service throttles the client, which may retry after
// RetryAfter.
type ThrottledError struct {
	RetryAfter time.Duration
}

func (e *ThrottledError) Error() string {
	return fmt.Sprintf("throttled, retry after %s", e.RetryAfter)
}
