package connlimit

import (
	"net"
	"time"
)

// Accept returns the next connection of a listener that gets a slot. It closes connections
// that get none.
func (l *Limiter) Accept(accept func() (net.Conn, error)) (net.Conn, *Slot, error) {
	for {
		conn, err := accept()
		if err != nil {
			return nil, nil, err
		}
		// Close waits for the goroutines that use the connection, which may take milliseconds on
		// a busy machine.
		if s := l.await(func() { go conn.Close() }); s != nil {
			return conn, s, nil
		}
		_ = conn.Close()
	}
}

// maxAdmitWait limits the wait of a new connection for one that may be closed. All those that
// come after it wait as well: with a longer one, a crowd whose connections make progress all the
// time would hold up others for its number times this wait.
const maxAdmitWait = 2 * time.Millisecond

// await returns a slot, or nil if there is none.
func (l *Limiter) await(closeConn func()) *Slot {
	for end := time.Now().Add(maxAdmitWait); ; {
		now := time.Now()
		s, wait := l.Admit(now, closeConn, !now.Before(end))
		if s != nil || wait <= 0 {
			return s
		}
		time.Sleep(min(wait, end.Sub(now)))
	}
}

// Listener bounds the connections of a net.Listener. Its connections are of type *Conn.
type Listener struct {
	net.Listener
	Limiter *Limiter
}

// Listen returns a Listener with a Limiter of its own.
func Listen(ln net.Listener, limit int) *Listener {
	return &Listener{Listener: ln, Limiter: New(limit)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, slot, err := l.Limiter.Accept(l.Listener.Accept)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, Slot: slot}, nil
}

// Conn is a connection with a Slot, which is released when it is closed.
type Conn struct {
	net.Conn
	Slot *Slot
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.Slot.Release()
	return err
}

// SetReadBuffer sets the size of the operating system's receive buffer, if there is one.
func (c *Conn) SetReadBuffer(bytes int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the size of the operating system's send buffer, if there is one.
func (c *Conn) SetWriteBuffer(bytes int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetWriteBuffer(bytes)
	}
	return nil
}

// CloseWrite ends the sending direction, if that is possible.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Keep calls Slot.Keep if a connection is one of a Listener. Otherwise it returns true.
func Keep(conn net.Conn) bool {
	c, ok := conn.(*Conn)
	return !ok || c.Slot.Keep()
}
