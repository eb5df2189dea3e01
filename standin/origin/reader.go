package origin

import (
	"context"
	"io"
	"time"

	"github.com/auburnbend/auburnbend/standin/fault"
)

// paceBytes is the largest piece that a reader passes on at once, so that
// readers share a paced link evenly.
const paceBytes = 64 << 10

// reader streams one range. Close has no effect on the source.
type reader struct {
	ctx    context.Context
	source *Source
	data   []byte
	sent   int64
	faults fault.Faults
}

// Read implements io.Reader. A cut stream ends with io.ErrUnexpectedEOF.
func (r *reader) Read(p []byte) (int, error) {
	if err := r.ctx.Err(); err != nil {
		return 0, err
	}
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := min(len(p), len(r.data), paceBytes)
	if cut := r.faults.CutAfter; cut > 0 {
		if r.sent >= cut {
			return 0, io.ErrUnexpectedEOF
		}
		n = int(min(int64(n), cut-r.sent))
	}
	if stall := r.faults.StallAfter; stall > 0 {
		if r.sent >= stall {
			<-r.ctx.Done()
			return 0, r.ctx.Err()
		}
		n = int(min(int64(n), stall-r.sent))
	}
	if err := r.wait(n); err != nil {
		return 0, err
	}
	copy(p, r.data[:n])
	r.data = r.data[n:]
	r.sent += int64(n)
	return n, nil
}

// Close implements io.Closer.
func (r *reader) Close() error { return nil }

func (r *reader) wait(n int) error {
	r.source.mu.Lock()
	r.source.stats.Bytes += int64(n)
	pause := r.source.link.reserve(r.source.cfg.Clock.Now(), n)
	r.source.mu.Unlock()
	if pause <= 0 {
		return nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}
