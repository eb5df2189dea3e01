package upstream

import (
	"bytes"
	"io"
)

// boundedReader limits the bytes and lines that are read from source, until unbounded is set.
type boundedReader struct {
	source io.Reader
	// remaining and remainingLines are the numbers of bytes and of line feeds that may still
	// be read. The last read may exceed the latter.
	remaining, remainingLines int
	// unbounded lifts the limits.
	unbounded bool
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.unbounded {
		return r.source.Read(p)
	}
	if r.remaining <= 0 || r.remainingLines <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.remainingLines -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}
