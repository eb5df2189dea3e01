package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
)

// pipes connects instances in memory.
type pipes struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	// cuts holds the pairs of which the first cannot connect to the second.
	cuts map[[2]netip.AddrPort]bool
}

// cut ends the path from an instance to another one, whose connections stay silent.
func (p *pipes) cut(from, to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[[2]netip.AddrPort{from, to}] = true
}

func (p *pipes) isCut(from, to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[[2]netip.AddrPort{from, to}]
}

// cutConn is a connection that breaks with the next data after the path has been cut.
type cutConn struct {
	net.Conn
	broken func() bool
}

func (c cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.broken() {
		return 0, errCut
	}
	return n, err
}

type pipeListener struct {
	address netip.AddrPort
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (p *pipes) listen(address netip.AddrPort) *pipeListener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l
	return l
}

func (p *pipes) dialFrom(ctx context.Context, from, to netip.AddrPort) (net.Conn, error) {
	if p.isCut(from, to) {
		return nil, errCut
	}
	conn, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return cutConn{Conn: conn, broken: func() bool { return p.isCut(from, to) }}, nil
}

func (p *pipes) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[to]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
