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

// maxEmptyReads is the number of consecutive reads without any bytes after
// which a fetch from the origin or weight store fails.
const maxEmptyReads = 2

// worker transfers one chunk.
type worker struct {
	service *Service
	fetch   distribute.Fetch
	cancel  context.CancelFunc
	// received is the number of bytes read from the origin or weight store. The
	// run loop reads it to observe progress.
	received atomic.Int64
	// conn is set if the chunk is fetched from a peer.
	conn atomic.Pointer[connUsage]
}

// connUsage identifies the bytes that a fetch has received over a connection,
// which earlier fetches may have used.
type connUsage struct {
	conn            *wire.Conn
	receivedAtStart int64
}

// fetchResult is the result of a worker.
type fetchResult struct {
	fetch      distribute.Fetch
	result     distribute.Result
	retryAfter time.Duration
	err        error
}

// progress returns the number of bytes received so far.
func (w *worker) progress() int64 {
	if usage := w.conn.Load(); usage != nil {
		_, received := usage.conn.ByteCounts()
		return received - usage.receivedAtStart
	}
	return w.received.Load()
}

// run fetches, verifies and stores the chunk.
func (w *worker) run(ctx context.Context) fetchResult {
	var data []byte
	var err error
	if w.fetch.Source == distribute.Origin {
		data, err = w.fromOrigin(ctx)
	} else {
		data, err = w.fromPeer(ctx)
	}
	if err == nil {
		err = w.service.cfg.Chunks.Put(w.fetch.Chunk, data)
	}
	res := fetchResult{fetch: w.fetch, err: err, result: distribute.Failed}
	var throttled *backing.ThrottledError
	switch {
	case err == nil:
		res.result = distribute.Delivered
	case errors.Is(err, weights.ErrChunkCorrupt):
		res.result = distribute.Corrupt
	case errors.Is(err, errAbsent):
		res.result = distribute.Absent
	case errors.Is(err, errBusy):
		res.result = distribute.Busy
	case errors.As(err, &throttled):
		res.result, res.retryAfter = distribute.Throttled, throttled.RetryAfter
	}
	return res
}

var (
	errAbsent = merry.New("peer does not have the requested data")
	errBusy   = merry.New("peer has no free upload slot")
)

// fromPeer fetches the chunk from a peer. It retries if a reused connection
// turns out to be closed.
func (w *worker) fromPeer(ctx context.Context) ([]byte, error) {
	if err := w.service.limits.waitDownload(ctx, int(w.fetch.Chunk.Size)); err != nil {
		return nil, err
	}
	for {
		conn, reused, err := w.service.pool.get(ctx, w.fetch.Source)
		if err != nil {
			return nil, err
		}
		data, err := w.requestChunk(ctx, conn)
		if err == nil || errors.Is(err, errAbsent) || errors.Is(err, errBusy) {
			w.service.pool.put(w.fetch.Source, conn)
			return data, err
		}
		_ = conn.Close()
		w.service.pool.closeIdle(w.fetch.Source)
		if !reused || ctx.Err() != nil || w.progress() > 0 {
			return nil, err
		}
	}
}

// requestChunk requests the chunk over a connection and returns its bytes, or
// errAbsent or errBusy if the peer refuses.
func (w *worker) requestChunk(ctx context.Context, conn *wire.Conn) ([]byte, error) {
	_, receivedAtStart := conn.ByteCounts()
	w.conn.Store(&connUsage{conn: conn, receivedAtStart: receivedAtStart})
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.Send(&wire.ChunkFetch{RequestID: w.fetch.ID, Chunk: w.fetch.Chunk.Digest}); err != nil {
		return nil, err
	}
	m, err := conn.Receive()
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *wire.ChunkData:
		if m.RequestID == w.fetch.ID {
			w.service.counters.peer.Add(int64(len(m.Data)))
			return m.Data, nil
		}
	case *wire.ChunkRefused:
		if m.RequestID == w.fetch.ID && m.Busy {
			return nil, errBusy
		}
		if m.RequestID == w.fetch.ID {
			return nil, errAbsent
		}
	}
	return nil, merry.Errorf("unexpected reply to a chunk request: message type %d", m.Type())
}

// fromOrigin reads the chunk's range from the origin or weight store. It
// resumes after reads that end early, including those of an earlier fetch of
// the same chunk.
func (w *worker) fromOrigin(ctx context.Context) ([]byte, error) {
	size := int(w.fetch.Chunk.Size)
	buf := make([]byte, 0, size)
	buf = append(buf, w.service.partials.take(w.fetch.Chunk.Digest)...)
	empty := 0
	for attempt := w.fetch.Attempt; len(buf) < size; attempt++ {
		before := len(buf)
		var err error
		buf, err = w.readRange(ctx, buf, size, attempt)
		if len(buf) > before {
			empty = 0
		} else if empty++; empty >= maxEmptyReads || isThrottled(err) || ctx.Err() != nil {
			w.service.partials.put(w.fetch.Chunk.Digest, buf)
			return nil, err
		}
	}
	return buf, nil
}

func isThrottled(err error) bool {
	var t *backing.ThrottledError
	return errors.As(err, &t)
}

// readRange appends the missing bytes of the chunk to buf until the chunk is
// complete or the read fails.
func (w *worker) readRange(ctx context.Context, buf []byte, size, attempt int) ([]byte, error) {
	src, count := w.service.chooseSource(attempt)
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
		// Small reads keep the rate even and progress visible.
		end := min(len(buf)+maxReadSize, size)
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
		if err := w.service.limits.waitDownload(ctx, n); err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// maxReadSize is the maximum size of a single read from a source, in bytes.
const maxReadSize = 64 << 10

// chooseSource alternates between the weight store, for even attempts, and the
// origin. It returns the source, which may be nil, and the counter of its
// bytes.
func (s *Service) chooseSource(attempt int) (backing.WeightSource, *atomic.Int64) {
	switch {
	case s.cfg.WeightStore != nil && (attempt%2 == 0 || s.cfg.Origin == nil):
		return s.cfg.WeightStore, &s.counters.store
	default:
		return s.cfg.Origin, &s.counters.origin
	}
}
