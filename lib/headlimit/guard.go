// Package headlimit bounds the fields and the memory of the heads of HTTP requests as they
// arrive on a connection, before an HTTP library parses them.
package headlimit

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/memory"
)

const (
	// maxLines bounds the fields of a request and its request line.
	maxLines = 513
	// freeBytes is the memory that a head takes without a reservation.
	freeBytes = 16 << 10
	// memoryFactor is the memory of a head relative to its size: it is parsed, and copied for
	// the backend server. lineMemory is the additional memory of a field.
	memoryFactor = 2
	lineMemory   = 128
	// roomStep is the size of a reservation.
	roomStep = 32 << 10
	// refusalTime limits the time in which the rest of a refused head is read, so that the
	// caller gets the refusal instead of a reset connection.
	refusalTime = 300 * time.Millisecond
)

// errRefused is a read error, because net/http answers other errors with 400.
var errRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head of a request refused")}

// Guard checks the heads of the requests on one connection. It is used by the goroutine that
// serves the connection. Its zero value bounds nothing until Begin is called.
type Guard struct {
	// Budget bounds the memory of all long heads together; nil does not.
	Budget *memory.Budget

	scanner scanner
	rooms   []*memory.Reservation
}

// Begin expects the head of the next request, and returns the memory of the last one.
func (g *Guard) Begin() {
	g.Release()
	g.scanner.begin()
}

// End records that the head has been parsed. Its memory stays reserved until the next call of
// Begin or Release.
func (g *Guard) End() { g.scanner.inHead = false }

// Release returns the memory of the head.
func (g *Guard) Release() {
	for _, room := range g.rooms {
		room.Release()
	}
	g.rooms = nil
}

// Read records data that was read from conn. If the head has too many fields or finds no
// memory, Read sends the refusal, which means that the request has not run, and returns an
// error. data is overwritten then.
func (g *Guard) Read(conn net.Conn, data []byte) error {
	if !g.scanner.inHead {
		g.scanner.scan(data)
		return nil
	}
	g.scanner.scan(data)
	if g.scanner.lines > maxLines {
		refuse(conn, "431 Request Header Fields Too Large\r\n", data)
		return errRefused
	}
	needed := memoryFactor*g.scanner.bytes + lineMemory*g.scanner.lines - freeBytes
	for g.Budget != nil && needed > len(g.rooms)*roomStep {
		room, ok := g.Budget.TryAcquire("", roomStep)
		if !ok {
			refuse(conn, "503 Service Unavailable\r\nRetry-After: 1\r\n", data)
			return errRefused
		}
		g.rooms = append(g.rooms, room)
	}
	return nil
}

// refuse answers a request of which the head has not been read to its end. buf is used to read
// the rest.
func refuse(conn net.Conn, status string, buf []byte) {
	if conn.SetDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 "+status+"Content-Length: 0\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}
