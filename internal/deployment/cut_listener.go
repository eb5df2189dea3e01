package deployment

import (
	"context"
	"net"
	"sync"
)

// cutListener holds all connections of an instance, in both directions, and can
// break or silence them.
type cutListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*silentConn
	dead  bool
}

// Accept returns the next connection.
func (l *cutListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.keep(nc, true)
}

func (l *cutListener) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.keep(nc, false)
}

func (l *cutListener) keep(nc net.Conn, inbound bool) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		_ = nc.Close()
		return nil, net.ErrClosed
	}
	kept := newSilentConn(nc, inbound)
	l.conns = append(l.conns, kept)
	return kept, nil
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

// silence makes all open connections of the instance go silent for good; new
// ones work.
func (l *cutListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, nc := range l.conns {
		nc.silent.Store(true)
	}
	l.conns = nil
}

// silenceHalf makes every second open connection that peers opened go silent for
// good.
func (l *cutListener) silenceHalf() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, nc := range l.conns {
		if nc.inbound && i%2 == 0 {
			nc.silent.Store(true)
		}
	}
}
