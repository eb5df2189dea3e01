package deployment

import (
	"net"
	"sync/atomic"
	"time"
)

// blackholeConn is a connection that can be blackholed: from then on writes succeed
// but are lost, and reads block until Close, as if a middlebox had dropped the state
// of the connection.
type blackholeConn struct {
	net.Conn
	// inbound reports whether the peer opened the connection.
	inbound     bool
	blackholed  atomic.Bool
	closed      chan struct{}
	closeCalled atomic.Bool
}

func newBlackholeConn(nc net.Conn, inbound bool) *blackholeConn {
	return &blackholeConn{Conn: nc, inbound: inbound, closed: make(chan struct{})}
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.blackholed.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) SetWriteDeadline(t time.Time) error {
	if c.blackholed.Load() {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *blackholeConn) Close() error {
	if !c.closeCalled.Swap(true) {
		close(c.closed)
	}
	return c.Conn.Close()
}
