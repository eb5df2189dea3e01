package backing

import "context"

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object, or ErrNotFound, or ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// PutIfAbsent stores the object, or returns ErrExists, ErrNotApplied or
	// ErrUnknown.
	PutIfAbsent(ctx context.Context, name string, data []byte) error
}
