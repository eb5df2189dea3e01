package node

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/headlimit"
)

const (
	// writeStep is the number of bytes that the caller's side must accept within writeTimeout: a
	// pause of the link shorter than that does not end the response.
	writeStep    = 64 << 10
	writeTimeout = 10 * time.Second
	// stallTime is the time within which it must accept them, or its connection may be closed in
	// favour of new ones.
	stallTime = 500 * time.Millisecond
)

// callerConn is a connection of a caller. It records whether the caller has begun its next
// request, which net/http reports only after the whole head of the request. It bounds the
// fields and the memory of heads, and the time for which a caller may leave a response unread.
type callerConn struct {
	*net.TCPConn
	// slot is the place of the connection among those of the listener.
	slot *connlimit.Slot
	head headlimit.Guard

	mu sync.Mutex
	// begun is set once something has been read since the connection was accepted or became
	// idle.
	begun bool
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.setBegun(true)
		if refused := c.head.Read(c.TCPConn, p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// Write implements net.Conn. It fails if the caller does not accept writeStep bytes within
// writeTimeout.
func (c *callerConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		var n int
		n, err = c.writeStep(p[written:min(len(p), written+writeStep)])
		written += n
	}
	return written, err
}

// writeStep writes a part of a response. The connection may be closed in favour of new ones
// while the caller is slow to accept it.
func (c *callerConn) writeStep(p []byte) (written int, err error) {
	stalled := false
	for end := time.Now().Add(writeTimeout); ; {
		if err := c.SetWriteDeadline(time.Now().Add(stallTime)); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(p[written:])
		written += n
		switch {
		case err == nil:
			if stalled && !c.slot.Keep() {
				return written, net.ErrClosed
			}
			return written, nil
		case !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end):
			return written, err
		case !stalled:
			stalled = true
			c.slot.Progress(time.Now())
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.TCPConn.Close()
	c.slot.Release()
	return err
}

// setState records a change of the state of the connection in net/http.
func (c *callerConn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.head.Begin()
	case http.StateActive:
		c.head.End()
		c.slot.Progress(time.Now())
	case http.StateIdle:
		c.head.Begin()
		c.slot.Progress(time.Now())
	default:
		c.head.Release()
		c.slot.Release()
	}
}

// connSlot returns the place of the connection among those of the listener.
func (c *callerConn) connSlot() *connlimit.Slot { return c.slot }

func (c *callerConn) setBegun(begun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = begun
}

func (c *callerConn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// stopReading makes reads fail until resumeReading, unless the caller has begun its next
// request. The server then closes the connection itself, and not while it is reading.
func (c *callerConn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun {
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// resumeReading ends stopReading. The server must have no read deadline of its own.
func (c *callerConn) resumeReading() { _ = c.SetReadDeadline(time.Time{}) }
