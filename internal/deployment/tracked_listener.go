package deployment

import (
	"context"
	"net"
	"sync"
)

// trackedListener tracks all connections of an instance, inbound and outbound, and
// can close or blackhole them. It is safe for concurrent use.
type trackedListener struct {
	net.Listener

	mu     sync.Mutex
	conns  []*blackholeConn
	closed bool
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.track(nc, true)
}

func (l *trackedListener) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.track(nc, false)
}

func (l *trackedListener) track(nc net.Conn, inbound bool) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	conn := newBlackholeConn(nc, inbound)
	l.conns = append(l.conns, conn)
	return conn, nil
}

// closeAll closes the listener and all connections. New ones are refused.
func (l *trackedListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.Close()
	for _, nc := range l.conns {
		_ = nc.Close()
	}
}

// blackholeAll blackholes all open connections; new ones work.
func (l *trackedListener) blackholeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, nc := range l.conns {
		nc.blackholed.Store(true)
	}
	l.conns = nil
}

// blackholeHalf blackholes every second tracked connection if it is inbound.
func (l *trackedListener) blackholeHalf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, nc := range l.conns {
		if nc.inbound && i%2 == 0 {
			nc.blackholed.Store(true)
		}
	}
}
