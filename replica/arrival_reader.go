package replica

import (
	"io"
	"time"
)

// arrivalReader records when the first bytes of a message arrive. It is not safe for
// concurrent use.
type arrivalReader struct {
	source io.Reader
	// arrivedAt is when the first bytes since the last call of sinceArrival came; zero
	// before them.
	arrivedAt time.Time
}

// Read implements io.Reader.
func (r *arrivalReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 && r.arrivedAt.IsZero() {
		r.arrivedAt = time.Now()
	}
	return n, err
}

// sinceArrival returns the time since the first bytes of the message arrived, and
// begins a new message. It is zero if all bytes came with the message before.
func (r *arrivalReader) sinceArrival() time.Duration {
	if r.arrivedAt.IsZero() {
		return 0
	}
	transfer := time.Since(r.arrivedAt)
	r.arrivedAt = time.Time{}
	return transfer
}
