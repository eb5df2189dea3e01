package upstream

import "io"

// boundedReader limits the bytes that are read from source, until unbounded is set.
type boundedReader struct {
	source io.Reader
	// remaining is the number of bytes that may still be read.
	remaining int
	// unbounded lifts the limit.
	unbounded bool
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.unbounded {
		return r.source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
