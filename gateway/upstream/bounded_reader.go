package upstream

import "io"

// boundedReader fails once it has read more than it may.
type boundedReader struct {
	source io.Reader
	// left is the number of bytes that may still be read.
	left int
	// unbounded lifts the bound.
	unbounded bool
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.unbounded {
		return r.source.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
