package upstream

import (
	"context"
	"io"
	"net/http"

	"github.com/auburnbend/auburnbend/lib/memory"
)

// freeBodyBytes is what a body may take without a reservation. Most bodies are shorter.
const freeBodyBytes = 16 << 10

// ReadBody reads a whole body of at most limit bytes. It fails if the body is longer or
// truncated. A long body waits in its connection until the budget has room for it as a whole,
// or until ctx ends: bodies that are held in part could wait for each other. holder is the
// server. The caller releases the reservation, which is nil for a short body and after an
// error, when it no longer needs the body.
func ReadBody(ctx context.Context, budget *memory.Budget, holder string, resp *http.Response, limit int) ([]byte, *memory.Reservation, error) {
	if resp.ContentLength > int64(limit) {
		return nil, nil, errBodyTooLong
	}
	first := make([]byte, min(freeBodyBytes, limit+1))
	if resp.ContentLength >= 0 {
		first = first[:min(int64(len(first)), resp.ContentLength+1)]
	}
	n, err := readFull(resp.Body, first)
	switch {
	case err == io.EOF:
		return first[:n], nil, nil
	case err != nil:
		return nil, nil, err
	case n > limit:
		return nil, nil, errBodyTooLong
	}
	size := limit
	if resp.ContentLength >= 0 {
		size = int(resp.ContentLength)
	}
	reservation, err := budget.Acquire(ctx, holder, int64(size))
	if err != nil {
		return nil, nil, err
	}
	// One byte more shows whether the body ends at its limit.
	body := make([]byte, size+1)
	copy(body, first)
	more, err := readFull(resp.Body, body[n:])
	switch n += more; {
	case err == io.EOF:
		return body[:n], reservation, nil
	case err == nil:
		err = errBodyTooLong
	}
	reservation.Release()
	return nil, nil, err
}

// readFull reads until buf is full or source ends; it then returns the error of source.
func readFull(source io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var more int
		more, err = source.Read(buf[n:])
		n += more
	}
	return n, err
}
