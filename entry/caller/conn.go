package caller

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/headlimit"
	"github.com/auburnbend/auburnbend/lib/memory"
)

const (
	// callerBuffer is the size in bytes of each of the operating system's buffers of a caller's
	// connection. Without a limit it may keep megabytes of a body that waits, and of responses
	// that are not read.
	callerBuffer = 128 << 10
	// writeStep is the number of bytes of which all must be accepted within stallTime for the
	// caller to count as reading.
	writeStep = 64 << 10
	stallTime = 500 * time.Millisecond
	// acceptRetryDelay is the time after which a connection is accepted again after a failure.
	acceptRetryDelay = 20 * time.Millisecond
	// maxFramingBytes limits what may surround a part of a chunked body: the HTTP library
	// keeps white space after the size of a chunk, and trailers, without a limit.
	maxFramingBytes = 64 << 10
)

var errFramingTooLong = errors.New("framing of the body is too long")

// listener accepts the connections of callers as *conn.
type listener struct {
	net.Listener
	// heads bounds the memory of long heads of requests.
	heads *memory.Budget
}

// Accept implements net.Listener. The HTTP library ends its server when Accept fails, so it is
// repeated until the listener is closed: there may be no descriptor left for a while.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for err != nil {
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
		accepted, err = l.Listener.Accept()
	}
	if c, ok := accepted.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		// If the operating system refuses these sizes, its own limits hold, and the connection
		// serves requests all the same.
		_ = c.SetReadBuffer(callerBuffer)
		_ = c.SetWriteBuffer(callerBuffer)
	}
	c := &conn{Conn: accepted, head: headlimit.Guard{Budget: l.heads}}
	if limited, ok := accepted.(*connlimit.Conn); ok {
		c.slot = limited.Slot
	}
	c.head.Begin()
	c.unlimit()
	return c, nil
}

// conn is a connection of a caller that limits what the HTTP library reads at once, and the
// heads of requests.
type conn struct {
	net.Conn
	allowance atomic.Int64
	// slot is the place of the connection among those of the listener; nil if they are not
	// limited.
	slot *connlimit.Slot
	// answered is set at the end of the handler: the next read begins the next request.
	answered atomic.Bool

	// mu guards head: the library reads on two goroutines, one after the other.
	mu   sync.Mutex
	head headlimit.Guard
}

// beginHandler records that the head of a request has been parsed.
func (c *conn) beginHandler() {
	// The head may have been read ahead, before the last handler ended.
	c.answered.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.End()
	c.slot.Progress(time.Now())
}

// endHandler records that the handler of a request has ended. Its response may not have been
// sent yet.
func (c *conn) endHandler() { c.answered.Store(true) }

// Write implements net.Conn. While the caller accepts nothing, the connection may be closed in
// favour of new ones.
func (c *conn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		stall := time.AfterFunc(stallTime, func() { c.slot.Progress(time.Now()) })
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if !stall.Stop() && !c.slot.Keep() {
			return written, net.ErrClosed
		}
	}
	return written, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Release()
	return err
}

// limit lets further reads fail after a number of bytes.
func (c *conn) limit(bytes int64) { c.allowance.Store(bytes) }

func (c *conn) unlimit() { c.limit(math.MaxInt64) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.allowance.Load() <= 0 {
		return 0, errFramingTooLong
	}
	if c.answered.CompareAndSwap(true, false) {
		c.mu.Lock()
		c.head.Begin()
		c.mu.Unlock()
		c.slot.Progress(time.Now())
	}
	n, err := c.Conn.Read(p)
	c.allowance.Add(-int64(n))
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if refused := c.head.Read(c.Conn, p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// contextOf returns the context of the requests on an accepted connection.
func contextOf(accepted net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, accepted)
}
