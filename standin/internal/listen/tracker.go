// Package listen provides the listener of the stand-ins. It keeps its
// connections so that a crash can cut them all.
package listen

import (
	"net"
	"sync"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Tracker is a listener that can close all connections that it accepted.
type Tracker struct {
	net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New listens on a loopback address.
func New(address string) (*Tracker, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Tracker{Listener: ln, conns: make(map[net.Conn]struct{})}, nil
}

// Accept waits for a connection and keeps it.
func (t *Tracker) Accept() (net.Conn, error) {
	nc, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, tracker: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	t.conns[c] = struct{}{}
	return c, nil
}

// CutAll closes the listener and all connections.
func (t *Tracker) CutAll() {
	_ = t.Close()
	t.mu.Lock()
	t.closed = true
	conns := make([]net.Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (t *Tracker) forget(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

type conn struct {
	net.Conn
	tracker *Tracker
}

func (c *conn) Close() error {
	c.tracker.forget(c)
	return c.Conn.Close()
}

// Hertz returns a server over the listener; the caller adds routes and calls
// Run in a goroutine, which ends with CutAll.
func (t *Tracker) Hertz(opts ...config.Option) *server.Hertz {
	return server.New(append([]config.Option{
		server.WithListener(t),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(64 << 20),
	}, opts...)...)
}
