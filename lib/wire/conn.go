package wire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// bufferSize is the size of a connection's read and write buffers in bytes.
	bufferSize = 64 << 10
	// sendQueueSize is the maximum number of encoded frames that wait to be written.
	sendQueueSize = 256
	// writeTimeout bounds one write, so that a path that drops packets cannot block the
	// writer forever.
	writeTimeout = 10 * time.Second
)

// Conn sends and receives messages over one connection, which it owns. Its methods are
// safe for concurrent use, except Receive, which only one goroutine may call.
type Conn struct {
	nc        net.Conn
	reader    *bufio.Reader
	queue     chan queuedFrame
	done      chan struct{}
	closeOnce sync.Once
	sent      atomic.Int64
	received  atomic.Int64
	// lastData is the time at which the last message other than a heartbeat or a cache
	// hint was queued, in nanoseconds since the Unix epoch.
	lastData atomic.Int64
	// bodyRoom is nil if bodies are not limited.
	bodyRoom BodyRoom
}

// queuedFrame is an encoded frame that waits to be written, in two parts. If written is not
// nil, it is closed once the frame has been passed to the operating system. If release is
// not nil, it is called once the frame has been passed to it or dropped.
type queuedFrame struct {
	frame, tail []byte
	written     chan struct{}
	release     func()
}

// end is called once the frame is no longer held.
func (q *queuedFrame) end() {
	if q.release != nil {
		q.release()
	}
}

// NewConn returns a connection that owns nc, and starts its writer goroutine.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{
		nc:    nc,
		queue: make(chan queuedFrame, sendQueueSize),
		done:  make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(&countingReader{nc: nc, count: &c.received}, bufferSize)
	go c.writeLoop()
	return c
}

// Send queues a message. It blocks while the queue is full, as backpressure to the
// sender. It returns ErrClosed after Close.
func (c *Conn) Send(m Message) error {
	queued, err := c.encode(m)
	if err != nil {
		return err
	}
	select {
	case c.queue <- queued:
		return nil
	case <-c.done:
		return merry.Wrap(ErrClosed)
	}
}

// SendAndFlush queues a message and waits until it has been passed to the operating
// system, so that a sender of large frames holds only one of them in memory. It returns
// ErrClosed after Close.
func (c *Conn) SendAndFlush(m Message) error {
	queued, err := c.encode(m)
	if err != nil {
		return err
	}
	queued.written = make(chan struct{})
	select {
	case c.queue <- queued:
	case <-c.done:
		return merry.Wrap(ErrClosed)
	}
	select {
	case <-queued.written:
		return nil
	case <-c.done:
		return merry.Wrap(ErrClosed)
	}
}

// TrySend queues a message without blocking. It returns ErrQueueFull if the queue is
// full, and ErrClosed after Close. It is used for heartbeats and hints, which are
// better lost than blocking the sender.
func (c *Conn) TrySend(m Message) error { return c.TrySendHeld(m, nil) }

// TrySendHeld is TrySend for a message whose data takes room that somebody counts. It calls
// release, which may be nil, once the message has been passed to the operating system or
// dropped, also if it returns an error.
func (c *Conn) TrySendHeld(m Message, release func()) error {
	queued, err := c.encode(m)
	queued.release = release
	if err != nil {
		queued.end()
		return err
	}
	select {
	case <-c.done:
		queued.end()
		return merry.Wrap(ErrClosed)
	default:
	}
	select {
	case c.queue <- queued:
	default:
		queued.end()
		return merry.Wrap(ErrQueueFull)
	}
	select {
	case <-c.done:
		// The writer may have emptied the queue before.
		c.dropQueue()
	default:
	}
	return nil
}

// encode encodes a message. It keeps the data of a request or a response, which must not be
// modified afterwards.
func (c *Conn) encode(m Message) (queuedFrame, error) {
	if !isHeartbeatOrHint(m.Type()) {
		c.lastData.Store(time.Now().UnixNano())
	}
	frame, tail, err := encodeShared(m)
	return queuedFrame{frame: frame, tail: tail}, err
}

// dropQueue drops the queued messages of a closed connection.
func (c *Conn) dropQueue() {
	for {
		select {
		case queued := <-c.queue:
			queued.end()
		default:
			return
		}
	}
}

// isHeartbeatOrHint reports whether t is a heartbeat or a cache hint. Messages of all
// other types tell the peer that this side is alive, and thus replace heartbeats.
func isHeartbeatOrHint(t Type) bool {
	return t == TypeHeartbeat || t == TypeCacheUpdate || t == TypeCacheFetch
}

// LastDataSent returns the time at which a message other than a heartbeat or a cache
// hint was last queued.
func (c *Conn) LastDataSent() time.Time { return time.Unix(0, c.lastData.Load()) }

// Receive returns the next message. It blocks until one arrives or the connection
// fails.
func (c *Conn) Receive() (Message, error) {
	if c.bodyRoom != nil {
		return readHeld(c.reader, c.bodyRoom)
	}
	return Read(c.reader)
}

// SetReadDeadline sets the deadline of Receive. The zero time removes it.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.nc.SetReadDeadline(t) }

// Close closes the connection and unblocks Send and Receive. Queued messages are
// dropped.
func (c *Conn) Close() error {
	err := error(nil)
	c.closeOnce.Do(func() {
		close(c.done)
		err = c.nc.Close()
	})
	return err
}

// Done returns a channel that is closed when this side closes the connection or the
// writer fails.
func (c *Conn) Done() <-chan struct{} { return c.done }

// ByteCounts returns the numbers of bytes sent and received so far.
func (c *Conn) ByteCounts() (sent, received int64) { return c.sent.Load(), c.received.Load() }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

func (c *Conn) writeLoop() {
	defer c.dropQueue()
	w := bufio.NewWriterSize(c.nc, bufferSize)
	for {
		select {
		case <-c.done:
			return
		case next := <-c.queue:
			if !c.writeBatch(w, next) {
				_ = c.Close()
				return
			}
		}
	}
}

// writeBatch writes one frame and all that are queued after it, then flushes, so that
// a burst of frames needs only one system call. It returns false if a write failed.
func (c *Conn) writeBatch(w *bufio.Writer, next queuedFrame) bool {
	if c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		next.end()
		return false
	}
	var flushed []chan struct{}
	for {
		err := c.write(w, next)
		next.end()
		if err != nil {
			return false
		}
		if next.written != nil {
			flushed = append(flushed, next.written)
		}
		select {
		case next = <-c.queue:
			continue
		default:
		}
		if w.Flush() != nil {
			return false
		}
		for _, written := range flushed {
			close(written)
		}
		return true
	}
}

// write writes one frame. Its tail has been passed to the operating system afterwards, but
// for what the buffer of w holds.
func (c *Conn) write(w *bufio.Writer, q queuedFrame) error {
	if _, err := w.Write(q.frame); err != nil {
		return err
	}
	if _, err := w.Write(q.tail); err != nil {
		return err
	}
	c.sent.Add(int64(len(q.frame) + len(q.tail)))
	return nil
}
