package eventlog

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is the number of lines that may wait for a slow reader.
	asyncLines = 512
	// asyncBatch bounds the bytes of one write.
	asyncBatch = 16 << 10
	// closeTimeout bounds the wait for the last lines at the end of a process.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter writes lines in the background, so that a slow or stuck reader never
// holds up the caller. Lines that do not fit are counted and dropped. Write is
// safe for concurrent use.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	stopped chan struct{}
	dropped atomic.Int64
}

var _ io.Writer = (*AsyncWriter)(nil)

// NewAsyncWriter returns an Async that writes to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{}), stopped: make(chan struct{})}
	go a.run(w)
	return a
}

// Write queues one line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case a.lines <- kept:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes what is queued, for a short time at most.
func (a *AsyncWriter) Close() {
	close(a.done)
	select {
	case <-a.stopped:
	case <-time.After(closeTimeout):
	}
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.stopped)
	batch := make([]byte, 0, 4096)
	for {
		select {
		case line := <-a.lines:
			batch = a.collect(append(batch[:0], line...))
			// A failed write loses log lines only.
			_, _ = w.Write(batch)
		case <-a.done:
			if batch = a.collect(batch[:0]); len(batch) == 0 {
				return
			}
			_, _ = w.Write(batch)
		}
	}
}

// collect adds the lines that wait already, which saves system calls.
func (a *AsyncWriter) collect(batch []byte) []byte {
	for len(batch) < asyncBatch {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
