// Package backing defines the platform services that the system depends on: a
// transactional table service, an object store, sources of weights and an instance
// list. All implementations are safe for concurrent use.
package backing

import "context"

// Row is one stored row. Version increases with each write of the row and is never
// zero for an existing row.
type Row struct {
	Table   string `json:"table"`
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// TableService is the platform's transactional table service.
type TableService interface {
	// Get returns a row. It returns ErrNotFound or ErrUnavailable on failure.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns, in key order, up to limit rows of a table whose keys start with
	// prefix and are greater than after. An empty after means from the beginning. On
	// failure it returns ErrUnavailable.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It returns *ConflictError if a condition
	// does not hold, ErrNotApplied if the writes provably had no effect, and
	// ErrUnknown if they may have taken effect.
	Commit(ctx context.Context, tx Transaction) error
}
