package deployment

import (
	"context"
	"net"
	"sync"
)

// cutListener can break all connections of an instance, in both directions.
type cutListener struct {
	net.Listener

	mu    sync.Mutex
	conns []net.Conn
	dead  bool
}

// Accept returns the next connection.
func (l *cutListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.keep(nc)
}

func (l *cutListener) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.keep(nc)
}

func (l *cutListener) keep(nc net.Conn) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	l.conns = append(l.conns, nc)
	return nc, nil
}

// cut closes the listener and all connections for good.
func (l *cutListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = true
	_ = l.Close()
	for _, nc := range l.conns {
		_ = nc.Close()
	}
}
