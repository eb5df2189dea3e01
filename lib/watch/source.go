package watch

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost means that the changes since the requested state are no
// longer available, so that the whole table must be read.
var ErrHistoryLost = errors.New("change history no longer available")

// Source reads one table of a store. Errors other than ErrHistoryLost mean that
// nothing was read. A call that receives no data for ResponseTimeout, in
// addition to the time that it waits, returns an error. A Source is used by one
// goroutine.
type Source interface {
	// Snapshot reads the whole table as of one revision.
	Snapshot(ctx context.Context) (Rows, error)
	// Changes returns the rows that changed after a state, in order. It waits up to the
	// given time for the first one, and returns no rows if there is none. The rows of an
	// answer of another era belong to another history: they are not the changes since.
	Changes(ctx context.Context, since Position, wait time.Duration) (Rows, error)
}
