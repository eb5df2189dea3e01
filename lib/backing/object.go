package backing

import "context"

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object. It returns ErrNotFound or ErrUnavailable on failure.
	Get(ctx context.Context, name string) ([]byte, error)
	// PutIfAbsent stores the object unless it exists. It returns ErrExists,
	// ErrNotApplied or ErrUnknown on failure.
	PutIfAbsent(ctx context.Context, name string, data []byte) error
}
