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
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 64 << 10
	// defaultQueue is the number of encoded frames that may wait for the writer.
	defaultQueue = 256
	// writeTimeout bounds one write, so that a silent path cannot hold the
	// writer forever.
	writeTimeout = 10 * time.Second
)

// Conn sends and receives messages over one connection. Send may be called
// from any goroutine; Receive belongs to one reader goroutine. Conn owns the
// underlying connection.
type Conn struct {
	nc     net.Conn
	reader *bufio.Reader
	queue  chan outgoing
	done   chan struct{}
	once   sync.Once
	sent   atomic.Int64
	read   atomic.Int64
	// active is the time of the last message other than a heartbeat or a cache
	// hint, in nanoseconds since 1970.
	active atomic.Int64
}

// outgoing is an encoded frame that waits for the writer. A non-nil written is
// closed once the frame was handed to the operating system.
type outgoing struct {
	frame   []byte
	written chan struct{}
}

// NewConn takes over nc and starts its writer goroutine.
func NewConn(nc net.Conn) *Conn {
	c := &Conn{
		nc:    nc,
		queue: make(chan outgoing, defaultQueue),
		done:  make(chan struct{}),
	}
	c.reader = bufio.NewReaderSize(&countingReader{nc: nc, count: &c.read}, readBuffer)
	go c.write()
	return c
}

// Send queues a message. It blocks while the queue is full, which passes
// backpressure on to the sender, and returns ErrClosed after Close.
func (c *Conn) Send(m Message) error {
	frame, err := c.encode(m)
	if err != nil {
		return err
	}
	select {
	case c.queue <- outgoing{frame: frame}:
		return nil
	case <-c.done:
		return merry.Wrap(ErrClosed)
	}
}

// SendAndFlush queues a message and waits until it was handed to the operating
// system, so that a sender of large frames keeps one of them in memory.
func (c *Conn) SendAndFlush(m Message) error {
	frame, err := c.encode(m)
	if err != nil {
		return err
	}
	out := outgoing{frame: frame, written: make(chan struct{})}
	select {
	case c.queue <- out:
	case <-c.done:
		return merry.Wrap(ErrClosed)
	}
	select {
	case <-out.written:
		return nil
	case <-c.done:
		return merry.Wrap(ErrClosed)
	}
}

// TrySend queues a message, or returns ErrQueueFull at once. Heartbeats and
// hints use it: a late one is worth less than a blocked sender.
func (c *Conn) TrySend(m Message) error {
	frame, err := c.encode(m)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return merry.Wrap(ErrClosed)
	default:
	}
	select {
	case c.queue <- outgoing{frame: frame}:
		return nil
	default:
		return merry.Wrap(ErrQueueFull)
	}
}

func (c *Conn) encode(m Message) ([]byte, error) {
	if !hint(m.Type()) {
		c.active.Store(time.Now().UnixNano())
	}
	return Append(nil, m)
}

// hint reports whether a message of this type does not stand for a heartbeat:
// the peer takes only messages about attempts as signs of life.
func hint(t Type) bool {
	return t == TypeHeartbeat || t == TypeCacheUpdate || t == TypeCacheFetch
}

// LastDataSent returns when a message other than a heartbeat or a cache hint was
// last queued.
func (c *Conn) LastDataSent() time.Time { return time.Unix(0, c.active.Load()) }

// Receive returns the next message.
func (c *Conn) Receive() (Message, error) { return Read(c.reader) }

// SetReadDeadline bounds Receive; the zero time removes the bound.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.nc.SetReadDeadline(t) }

// Close ends the connection and unblocks Send and Receive. Queued messages are
// dropped.
func (c *Conn) Close() error {
	err := error(nil)
	c.once.Do(func() {
		close(c.done)
		err = c.nc.Close()
	})
	return err
}

// Done is closed when the connection is closed by this side or its writer fails.
func (c *Conn) Done() <-chan struct{} { return c.done }

// ByteCounts returns the bytes sent and received so far.
func (c *Conn) ByteCounts() (sent, received int64) { return c.sent.Load(), c.read.Load() }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.nc.RemoteAddr() }

func (c *Conn) write() {
	w := bufio.NewWriterSize(c.nc, readBuffer)
	for {
		select {
		case <-c.done:
			return
		case frame := <-c.queue:
			if !c.writeFrames(w, frame) {
				_ = c.Close()
				return
			}
		}
	}
}

// writeFrames writes one frame and all that are queued behind it, then flushes,
// so that a burst of frames costs one system call.
func (c *Conn) writeFrames(w *bufio.Writer, next outgoing) bool {
	if c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	var waiting []chan struct{}
	for {
		if _, err := w.Write(next.frame); err != nil {
			return false
		}
		c.sent.Add(int64(len(next.frame)))
		if next.written != nil {
			waiting = append(waiting, next.written)
		}
		select {
		case next = <-c.queue:
			continue
		default:
		}
		if w.Flush() != nil {
			return false
		}
		for _, written := range waiting {
			close(written)
		}
		return true
	}
}
