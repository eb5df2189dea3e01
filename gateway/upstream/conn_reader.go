package upstream

import (
	"errors"
	"io"
	"net"
	"os"
)

// connReader reads a connection. The operating system reports that a connection was reset or
// has timed out only once, to a read or to a write; later reads look like the end that a
// server makes by closing. So an error of the upload stands for the end of the connection,
// and each later read returns the error of the first one.
type connReader struct {
	conn   net.Conn
	upload *upload
	err    error
}

// Read implements io.Reader. A read that has reached its deadline can be repeated.
func (r *connReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.conn.Read(p)
	if errors.Is(err, io.EOF) {
		if failure := r.upload.failure(); failure != nil {
			err = failure
		}
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}
