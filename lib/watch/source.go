package watch

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that the changes since the requested revision are no
// longer available. The table must be read in full.
var ErrHistoryLost = errors.New("history is no longer available")

// Source reads one table of a store. Errors other than ErrHistoryLost mean
// that nothing was learned. A call on which nothing arrives for AnswerTimeout,
// after the time that it waits, ends with an error. It is used by one goroutine.
type Source interface {
	// Snapshot reads the whole table as of one moment.
	Snapshot(ctx context.Context) (Rows, error)
	// Changes returns the rows that changed after a revision, in order. It waits
	// up to the given time for the first one; no rows is a valid answer.
	Changes(ctx context.Context, since int64, wait time.Duration) (Rows, error)
}
