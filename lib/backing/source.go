package backing

import (
	"context"
	"io"
)

// WeightSource serves weight bytes. It is the origin or the weight store.
type WeightSource interface {
	// ReadRange opens a reader for length bytes of an object, starting at offset.
	// It returns *ThrottledError, ErrNotFound or ErrUnavailable on failure. The
	// reader may end early; the caller then requests the rest of the range.
	ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error)
}
