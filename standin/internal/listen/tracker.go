// Package listen provides the listener of the HTTP stand-ins. It tracks its connections,
// so that a simulated crash can close them all.
package listen

import (
	"net"
	"sync"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// Tracker is a listener that can close all connections that it has accepted. It is safe
// for concurrent use.
type Tracker struct {
	net.Listener

	// mu protects the fields below.
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// New listens on a TCP address.
func New(address string) (*Tracker, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Tracker{Listener: ln, conns: make(map[net.Conn]struct{})}, nil
}

// Accept waits for the next connection and tracks it. After CloseAll it returns an error.
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

// CloseAll closes the listener and all its connections.
func (t *Tracker) CloseAll() {
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

func (t *Tracker) remove(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// conn removes itself from its tracker when closed.
type conn struct {
	net.Conn
	tracker *Tracker
}

func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

// NewServer returns an HTTP server on the listener. The caller registers routes and calls
// Run, which blocks until CloseAll.
func (t *Tracker) NewServer(opts ...config.Option) *server.Hertz {
	return server.New(append([]config.Option{
		server.WithListener(t),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(64 << 20),
	}, opts...)...)
}
