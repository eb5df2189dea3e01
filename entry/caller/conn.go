package caller

import (
	"context"
	"errors"
	"math"
	"net"
	"sync/atomic"
)

const (
	// callerReadBuffer is the size in bytes of the operating system's receive buffer of a
	// caller's connection. Without a limit it may keep megabytes of a body that waits.
	callerReadBuffer = 128 << 10
	// maxFramingBytes limits what may surround a part of a chunked body: the HTTP library
	// keeps white space after the size of a chunk, and trailers, without a limit.
	maxFramingBytes = 64 << 10
)

var errFramingTooLong = errors.New("framing of the body is too long")

// listener accepts the connections of callers as *conn.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if c, ok := accepted.(interface{ SetReadBuffer(bytes int) error }); ok {
		// If the operating system refuses this size, its own limit holds, and the connection
		// serves requests all the same.
		_ = c.SetReadBuffer(callerReadBuffer)
	}
	c := &conn{Conn: accepted}
	c.unlimit()
	return c, nil
}

// conn is a connection of a caller that limits what the HTTP library reads at once.
type conn struct {
	net.Conn
	allowance atomic.Int64
}

// limit lets further reads fail after a number of bytes.
func (c *conn) limit(bytes int64) { c.allowance.Store(bytes) }

func (c *conn) unlimit() { c.limit(math.MaxInt64) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.allowance.Load() <= 0 {
		return 0, errFramingTooLong
	}
	n, err := c.Conn.Read(p)
	c.allowance.Add(-int64(n))
	return n, err
}

// connKey is the key of the *conn in the context of a request.
type connKey struct{}

// contextOf returns the context of the requests on an accepted connection.
func contextOf(accepted net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, accepted)
}
