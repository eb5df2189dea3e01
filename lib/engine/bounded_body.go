package engine

import "io"

// maxReadBytes limits a single read of a body. The HTTP client reads ahead as much as is
// asked for, and boundedConn takes more than maxHeadBytes for a head without an end.
const maxReadBytes = 32 << 10

// boundedBody limits the bytes that are read from a body.
type boundedBody struct {
	source    io.Reader
	remaining int64
	// grow is called once before more than free bytes are read. It may be nil.
	free int64
	grow func() error
}

// Read implements io.Reader. Beyond the limit it returns ErrTooLarge.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLarge
	}
	limit := min(int64(len(p)), maxReadBytes, b.remaining)
	if b.grow != nil {
		if b.free <= 0 {
			if err := b.grow(); err != nil {
				return 0, err
			}
			b.grow = nil
		} else {
			limit = min(limit, b.free)
		}
	}
	n, err := b.source.Read(p[:limit])
	b.remaining -= int64(n)
	b.free -= int64(n)
	return n, err
}
