package backing

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

var (
	// ErrNotFound means that the row or object does not exist.
	ErrNotFound = merry.New("not found")
	// ErrNotApplied means that a write certainly had no effect.
	ErrNotApplied = merry.New("write not applied")
	// ErrUnknown means that a write may have taken effect: its reply was lost.
	ErrUnknown = merry.New("write outcome unknown")
	// ErrUnavailable means that a read was not answered.
	ErrUnavailable = merry.New("platform service unavailable")
	// ErrExists means that an object already exists.
	ErrExists = merry.New("object already exists")
)

// ConflictError says which write's condition did not hold. Nothing was applied.
type ConflictError struct {
	Index int
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition of write %d does not hold", e.Index)
}

// ThrottledError asks the client to come back later.
type ThrottledError struct {
	RetryAfter time.Duration
}

func (e *ThrottledError) Error() string {
	return fmt.Sprintf("throttled, retry after %s", e.RetryAfter)
}
