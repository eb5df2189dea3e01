package node

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// pendingTime is the time in which connections that wait in the operating system
// are taken before a listener closes.
const pendingTime = 5 * time.Millisecond

// callerListener is a listener that, when it is closed, first hands out the
// connections that callers have opened already. The operating system would reset
// them, with the requests that were sent on them.
type callerListener struct {
	*net.TCPListener
	closing atomic.Bool
}

// listenCallers listens on an IP address and port.
func listenCallers(address string) (*callerListener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &callerListener{TCPListener: ln.(*net.TCPListener)}, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err == nil || !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	// The deadline that woke this call also hides what waits.
	if err := l.SetDeadline(time.Now().Add(pendingTime)); err != nil {
		return nil, err
	}
	if conn, err := l.TCPListener.Accept(); err == nil {
		return conn, l.SetDeadline(time.Now())
	}
	_ = l.TCPListener.Close()
	return nil, net.ErrClosed
}

// Close makes Accept return what waits and then an error. It implements
// net.Listener.
func (l *callerListener) Close() error {
	l.closing.Store(true)
	return l.SetDeadline(time.Now())
}
