package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncQueueLines is the number of lines that may be queued for a slow writer.
	asyncQueueLines = 512
	// asyncBatchBytes limits a write: a batch that has reached this size gets no
	// further lines.
	asyncBatchBytes = 16 << 10
	// closeTimeout bounds how long Close waits for queued lines.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines in the background, so that a slow or blocked writer
// never delays the caller. It drops and counts lines that do not fit into its
// queue. Write and Dropped are safe for concurrent use.
type AsyncWriter struct {
	lines    chan []byte
	closing  chan struct{}
	finished chan struct{}
	dropped  atomic.Int64
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns an AsyncWriter that writes to w. Close must be called
// to end its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncQueueLines), closing: make(chan struct{}), finished: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues a copy of one line. It never blocks and never returns an error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case a.lines <- queued:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines, waiting for at most closeTimeout. It must be
// called once.
func (a *AsyncWriter) Close() {
	close(a.closing)
	select {
	case <-a.finished:
	case <-time.After(closeTimeout):
	}
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.finished)
	batch := make([]byte, 0, 4096)
	for {
		select {
		case line := <-a.lines:
			batch = a.appendQueued(append(batch[:0], line...))
			// The lines of a failed write are lost, because there is no other
			// place to report the error.
			_, _ = w.Write(batch)
		case <-a.closing:
			if batch = a.appendQueued(batch[:0]); len(batch) == 0 {
				return
			}
			_, _ = w.Write(batch)
		}
	}
}

// appendQueued appends lines that are already queued, to save system calls.
func (a *AsyncWriter) appendQueued(batch []byte) []byte {
	for len(batch) < asyncBatchBytes {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
