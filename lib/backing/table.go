// Package backing defines what the system needs from the platform: a
// transactional table service, an object store, sources of weights and a list
// of instances. All implementations are safe for concurrent use.
package backing

import "context"

// Row is one stored row. Version grows with each write of the row and is never
// zero for a row that exists.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns a row, or ErrNotFound, or ErrUnavailable.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows of a table whose keys start with prefix and
	// follow after, in key order. An empty after starts at the beginning.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns *ConflictError when a
	// condition does not hold, ErrNotApplied when the writes certainly had no
	// effect, and ErrUnknown when they may have taken effect.
	Commit(ctx context.Context, tx Transaction) error
}
