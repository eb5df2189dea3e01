package deployment

import (
	"net"
	"sync/atomic"
	"time"
)

// silentConn can go silent for good: writes are accepted and lost, and reads
// never return, as when a middlebox has dropped the state of a connection.
type silentConn struct {
	net.Conn
	// inbound says that the peer opened the connection.
	inbound bool
	silent  atomic.Bool
	closed  chan struct{}
	once    atomic.Bool
}

func newSilentConn(nc net.Conn, inbound bool) *silentConn {
	return &silentConn{Conn: nc, inbound: inbound, closed: make(chan struct{})}
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) SetWriteDeadline(t time.Time) error {
	if c.silent.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *silentConn) Close() error {
	if !c.once.Swap(true) {
		close(c.closed)
	}
	return c.Conn.Close()
}
