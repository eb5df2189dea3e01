package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/headlimit"
	"github.com/auburnbend/auburnbend/lib/memory"
)

// pendingAcceptTimeout limits the wait for each connection that is still pending in
// the operating system when a listener closes.
const pendingAcceptTimeout = 5 * time.Millisecond

// maxCloseTime limits the time for which connections are accepted after Close: callers
// may open new ones faster than pendingAcceptTimeout.
const maxCloseTime = 100 * time.Millisecond

// callerBuffer is the size in bytes of each of the operating system's buffers of a caller's
// connection, for receiving and for sending.
const callerBuffer = 128 << 10

// callerListener is a TCP listener that, when it is closed, first accepts the
// connections that callers have already opened. Otherwise the operating system would
// reset them and lose the requests sent on them.
type callerListener struct {
	*net.TCPListener
	// closesAt is when a closing listener accepts no more connections in any case; nil
	// until it is closed.
	closesAt atomic.Pointer[time.Time]
	limiter  *connlimit.Limiter
	// heads bounds the memory of long heads of requests.
	heads *memory.Budget
}

// listenCallers listens on an address of the form host:port. limit bounds the connections and
// headBytes the memory of long heads of requests.
func listenCallers(address string, limit int, headBytes int64) (*callerListener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &callerListener{
		TCPListener: ln.(*net.TCPListener), limiter: connlimit.New(limit), heads: memory.NewBudget(headBytes, headBytes),
	}, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.accept()
	closesAt := l.closesAt.Load()
	if err == nil || closesAt == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	if now := time.Now(); now.Before(*closesAt) {
		// The expired deadline that interrupted this call also prevents accepting pending
		// connections.
		if err := l.SetDeadline(now.Add(pendingAcceptTimeout)); err != nil {
			return nil, err
		}
		if conn, err := l.accept(); err == nil {
			return conn, l.SetDeadline(time.Now())
		}
	}
	_ = l.TCPListener.Close()
	return nil, net.ErrClosed
}

func (l *callerListener) accept() (net.Conn, error) {
	accepted, slot, err := l.limiter.Accept(l.TCPListener.Accept)
	if err != nil {
		return nil, err
	}
	conn := accepted.(*net.TCPConn)
	// Without limits, the operating system may keep megabytes of a body that waits, and of
	// responses that are not read. If it refuses these, its own limits hold, and the
	// connection serves requests all the same.
	_ = conn.SetReadBuffer(callerBuffer)
	_ = conn.SetWriteBuffer(callerBuffer)
	return &callerConn{TCPConn: conn, slot: slot, head: headlimit.Guard{Budget: l.heads}}, nil
}

// Close implements net.Listener. Accept returns the pending connections and then
// net.ErrClosed, after maxCloseTime at the latest.
func (l *callerListener) Close() error {
	closesAt := time.Now().Add(maxCloseTime)
	l.closesAt.CompareAndSwap(nil, &closesAt)
	return l.SetDeadline(time.Now())
}
