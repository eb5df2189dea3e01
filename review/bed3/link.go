package bed3

import (
	"net"
	"sync"
)

// Link forwards connections from one address to another until it is closed.
type Link struct {
	// Address is the one that it listens on.
	Address string

	ln net.Listener
	mu sync.Mutex
	// conns are the open connections, and whether they have gone silent.
	conns  map[net.Conn]bool
	closed bool
}

// NewLink starts a Link.
func (b *Bed) NewLink(listen, target string) (*Link, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{Address: ln.Addr().String(), ln: ln, conns: make(map[net.Conn]bool)}
	b.closers = append(b.closers, l.Close)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.forward(conn, target)
		}
	}()
	return l, nil
}

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// keep remembers a connection, and reports whether the link is still open.
func (l *Link) keep(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = false
	return !l.closed
}

// Silence makes the open connections go silent for good, in both directions and without a reset.
// Later ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		l.conns[conn] = true
	}
}

// silent reports whether a connection has gone silent.
func (l *Link) silent(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[conn]
}

// copy forwards what comes from a connection unless that has gone silent.
func (l *Link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent(from) {
			n = 0
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

func (l *Link) forward(from net.Conn, target string) {
	defer from.Close()
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer to.Close()
	if !l.keep(from) || !l.keep(to) {
		return
	}
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{to, from}, {from, to}} {
		go func() {
			l.copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
	if l.silent(from) {
		// The end of one side does not reach the other one.
		<-done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, from)
	delete(l.conns, to)
}
