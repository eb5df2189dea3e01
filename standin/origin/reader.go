package origin

import (
	"context"
	"io"
	"time"

	"github.com/auburnbend/auburnbend/standin/fault"
)

// maxReadBytes is the maximum number of bytes that one Read returns, so that readers
// share the link evenly.
const maxReadBytes = 64 << 10

// reader streams one range of an object.
type reader struct {
	ctx    context.Context
	source *Source
	data   []byte // bytes left to read
	offset int64  // number of bytes read so far
	faults fault.Faults
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF at the point where the fault
// CutAfter ends the stream.
func (r *reader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(r.data), maxReadBytes)
	if cut := r.faults.CutAfter; cut > 0 {
		if r.offset >= cut {
			return 0, io.ErrUnexpectedEOF
		}
		n = int(min(int64(n), cut-r.offset))
	}
	if stall := r.faults.StallAfter; stall > 0 {
		if r.offset >= stall {
			<-r.ctx.Done()
			return 0, r.ctx.Err()
		}
		n = int(min(int64(n), stall-r.offset))
	}
	if err := r.pace(n); err != nil {
		return 0, err
	}
	copy(p, r.data[:n])
	r.data = r.data[n:]
	r.offset += int64(n)
	return n, nil
}

// Close implements io.Closer. It does nothing.
func (r *reader) Close() error { return nil }

// pace counts n bytes as read and waits until the link has sent them.
func (r *reader) pace(n int) error {
	r.source.mu.Lock()
	r.source.stats.Bytes += int64(n)
	delay := r.source.link.reserve(r.source.cfg.Clock.Now(), n)
	r.source.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
