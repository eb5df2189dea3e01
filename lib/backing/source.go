package backing

import (
	"context"
	"io"
)

// WeightSource serves the bytes of weights: the origin or the weight store.
type WeightSource interface {
	// ReadRange opens length bytes of an object from offset on. It returns
	// *ThrottledError, ErrNotFound or ErrUnavailable. The reader may end early;
	// the client resumes by asking for the rest of the range.
	ReadRange(ctx context.Context, object string, offset, length int64) (io.ReadCloser, error)
}
