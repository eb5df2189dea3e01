package node

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/memory"
)

const (
	// maxHeadLines bounds the fields of a request and its request line.
	maxHeadLines = 513
	// freeHeadBytes is the memory that a head takes without a reservation.
	freeHeadBytes = 16 << 10
	// headMemoryFactor is the memory of a head relative to its size: it is parsed, and copied
	// for the backend server. lineMemory is the additional memory of a field.
	headMemoryFactor = 2
	lineMemory       = 128
	// headMemoryStep is the size of a reservation for a head.
	headMemoryStep = 32 << 10
	// writeStep is the number of bytes of which some must be accepted by the caller's side
	// within writeTimeout: a pause of the link shorter than that does not end the response.
	writeStep    = 64 << 10
	writeTimeout = 10 * time.Second
	// stallTime is the time without any accepted byte after which a connection may be closed in
	// favour of new ones.
	stallTime = 500 * time.Millisecond
	// refusalTime limits the time in which the rest of a refused head is read, so that the
	// caller gets the refusal instead of a reset connection.
	refusalTime = 300 * time.Millisecond
)

var errHeadRefused = errors.New("head refused")

// callerConn is a connection of a caller. It records whether the caller has begun its next
// request, which net/http reports only after the whole head of the request. It bounds the
// fields and the memory of heads, and the time that a caller may leave a response unread.
type callerConn struct {
	*net.TCPConn
	// slot is the place of the connection among those of the listener.
	slot *connlimit.Slot
	// heads bounds the memory of long heads.
	heads *memory.Budget
	// head and rooms belong to the goroutine that serves the connection.
	head  headScanner
	rooms []*memory.Reservation

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
		if refusal := c.checkHead(p[:n]); refusal != "" {
			c.refuseHead(refusal, p)
			// net/http answers other errors with 400.
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
		}
	}
	return n, err
}

// checkHead records data that was read, and returns the status line and fields of a refusal if
// the head has too many fields or finds no memory.
func (c *callerConn) checkHead(data []byte) (refusal string) {
	if !c.head.inHead {
		c.head.scan(data)
		return ""
	}
	c.head.scan(data)
	if c.head.lines > maxHeadLines {
		return "431 Request Header Fields Too Large\r\n"
	}
	needed := headMemoryFactor*c.head.bytes + lineMemory*c.head.lines - freeHeadBytes
	for needed > len(c.rooms)*headMemoryStep {
		room, ok := c.heads.TryAcquire("", headMemoryStep)
		if !ok {
			return "503 Service Unavailable\r\nRetry-After: 1\r\n"
		}
		c.rooms = append(c.rooms, room)
	}
	return ""
}

// refuseHead answers a request of which the head has not been read to its end. buf is used to
// read the rest.
func (c *callerConn) refuseHead(refusal string, buf []byte) {
	end := time.Now().Add(refusalTime)
	if c.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(c.TCPConn, "HTTP/1.1 "+refusal+"Content-Length: 0\r\nConnection: close\r\n\r\n"); err != nil || c.CloseWrite() != nil {
		return
	}
	for {
		if _, err := c.TCPConn.Read(buf); err != nil {
			return
		}
	}
}

// Write implements net.Conn. It fails if the caller accepts nothing for writeTimeout.
func (c *callerConn) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		var n int
		n, err = c.writeStep(p[written:min(len(p), written+writeStep)])
		written += n
	}
	return written, err
}

// writeStep writes a part of a response. The connection may be closed in favour of new ones
// while the caller accepts nothing.
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
		case n == 0 && !stalled:
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
		c.head.begin()
	case http.StateActive:
		c.head.inHead = false
		c.slot.Progress(time.Now())
	case http.StateIdle:
		c.returnRooms()
		c.head.begin()
		c.slot.Progress(time.Now())
	default:
		c.returnRooms()
		c.slot.Release()
	}
}

func (c *callerConn) returnRooms() {
	for _, room := range c.rooms {
		room.Release()
	}
	c.rooms = nil
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
