package wire

import (
	"net"
	"sync/atomic"
)

// countingReader adds the number of bytes read from a connection to count.
type countingReader struct {
	nc    net.Conn
	count *atomic.Int64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.nc.Read(p)
	r.count.Add(int64(n))
	return n, err
}
