package transfer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/weights"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// emptyReads is the number of origin reads in a row that may end without a byte
// before a fetch counts as broken.
const emptyReads = 2

// worker transfers one chunk.
type worker struct {
	s      *Service
	fetch  distribute.Fetch
	cancel context.CancelFunc
	// received is read by the run loop to observe progress.
	received atomic.Int64
	conn     atomic.Pointer[connMark]
}

// connMark is a connection and its count of received bytes when the fetch
// started to use it.
type connMark struct {
	conn  *wire.Conn
	start int64
}

// done is the result of a worker.
type done struct {
	fetch      distribute.Fetch
	result     distribute.Result
	retryAfter time.Duration
	err        error
}

func (w *worker) progress() int64 {
	if m := w.conn.Load(); m != nil {
		_, received := m.conn.Bytes()
		return received - m.start
	}
	return w.received.Load()
}

// run transfers, verifies and stores the chunk.
func (w *worker) run(ctx context.Context) done {
	var data []byte
	var err error
	if w.fetch.Source == distribute.Origin {
		data, err = w.fromOrigin(ctx)
	} else {
		data, err = w.fromPeer(ctx)
	}
	if err == nil {
		err = w.s.cfg.Chunks.Put(w.fetch.Chunk, data)
	}
	d := done{fetch: w.fetch, err: err, result: distribute.Failed}
	var throttled *backing.ThrottledError
	switch {
	case err == nil:
		d.result = distribute.Delivered
	case errors.Is(err, weights.ErrChunkCorrupt):
		d.result = distribute.Corrupt
	case errors.Is(err, errAbsent):
		d.result = distribute.Absent
	case errors.Is(err, errBusy):
		d.result = distribute.Busy
	case errors.As(err, &throttled):
		d.result, d.retryAfter = distribute.Throttled, throttled.RetryAfter
	}
	return d
}

var (
	errAbsent = merry.New("peer does not hold the chunk")
	errBusy   = merry.New("peer has no free upload slot")
)

func (w *worker) fromPeer(ctx context.Context) ([]byte, error) {
	if err := w.s.limits.waitDownload(ctx, int(w.fetch.Chunk.Size)); err != nil {
		return nil, err
	}
	for {
		conn, reused, err := w.s.pool.get(ctx, w.fetch.Source)
		if err != nil {
			return nil, err
		}
		data, err := w.exchange(ctx, conn)
		if err == nil || errors.Is(err, errAbsent) || errors.Is(err, errBusy) {
			w.s.pool.put(w.fetch.Source, conn)
			return data, err
		}
		_ = conn.Close()
		w.s.pool.drop(w.fetch.Source)
		if !reused || ctx.Err() != nil || w.progress() > 0 {
			return nil, err
		}
	}
}

func (w *worker) exchange(ctx context.Context, conn *wire.Conn) ([]byte, error) {
	_, start := conn.Bytes()
	w.conn.Store(&connMark{conn: conn, start: start})
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.Send(&wire.ChunkFetch{Request: w.fetch.ID, Chunk: w.fetch.Chunk.Digest}); err != nil {
		return nil, err
	}
	m, err := conn.Receive()
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *wire.ChunkData:
		if m.Request == w.fetch.ID {
			w.s.counters.peer.Add(int64(len(m.Data)))
			return m.Data, nil
		}
	case *wire.ChunkRefused:
		if m.Request == w.fetch.ID && m.Busy {
			return nil, errBusy
		}
		if m.Request == w.fetch.ID {
			return nil, errAbsent
		}
	}
	return nil, merry.Errorf("unexpected reply of type %d", m.Type())
}

// fromOrigin reads the chunk's range and resumes after reads that end early,
// also ones of an earlier fetch of the same chunk.
func (w *worker) fromOrigin(ctx context.Context) ([]byte, error) {
	size := int(w.fetch.Chunk.Size)
	buf := make([]byte, 0, size)
	buf = append(buf, w.s.partials.take(w.fetch.Chunk.Digest)...)
	empty := 0
	for attempt := w.fetch.Attempt; len(buf) < size; attempt++ {
		before := len(buf)
		var err error
		buf, err = w.readRange(ctx, buf, size, attempt)
		if len(buf) > before {
			empty = 0
		} else if empty++; empty >= emptyReads || isThrottled(err) || ctx.Err() != nil {
			w.s.partials.put(w.fetch.Chunk.Digest, buf)
			return nil, err
		}
	}
	return buf, nil
}

func isThrottled(err error) bool {
	var t *backing.ThrottledError
	return errors.As(err, &t)
}

func (w *worker) readRange(ctx context.Context, buf []byte, size, attempt int) ([]byte, error) {
	src, count := w.s.source(attempt)
	if src == nil {
		return buf, errNoSource
	}
	r, err := src.ReadRange(ctx, w.fetch.Object, w.fetch.Offset+int64(len(buf)), int64(size-len(buf)))
	if err != nil {
		return buf, err
	}
	defer r.Close()
	stop := context.AfterFunc(ctx, func() { _ = r.Close() })
	defer stop()
	for len(buf) < size {
		// Slices keep the pace even and progress visible.
		end := min(len(buf)+originSlice, size)
		n, err := r.Read(buf[len(buf):end])
		buf = buf[:len(buf)+n]
		count.Add(int64(n))
		w.received.Add(int64(n))
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return buf, err
		}
		if err := w.s.limits.waitDownload(ctx, n); err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// originSlice is the largest single read from a source in bytes.
const originSlice = 64 << 10

// source alternates between the weight store and the origin.
func (s *Service) source(attempt int) (backing.WeightSource, *atomic.Int64) {
	switch {
	case s.cfg.WeightStore != nil && (attempt%2 == 0 || s.cfg.Origin == nil):
		return s.cfg.WeightStore, &s.counters.store
	default:
		return s.cfg.Origin, &s.counters.origin
	}
}
