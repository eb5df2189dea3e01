package node

import (
	"net"
	"sync/atomic"
)

// callerConn is a connection of a caller. It records whether the caller has sent
// anything, which net/http reports only after the whole head of a request.
type callerConn struct {
	*net.TCPConn
	begun atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}
