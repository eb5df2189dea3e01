package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// LinkFault is what a link does to its connections.
type LinkFault int

// Link faults.
const (
	LinkHealthy LinkFault = iota
	// LinkDelayed delivers everything later.
	LinkDelayed
	// LinkReset resets open and new connections.
	LinkReset
	// LinkOneWay loses what the server sends. Connections of that time stay
	// broken.
	LinkOneWay
	// LinkBlackhole loses everything. Connections of that time stay broken.
	LinkBlackhole
)

const (
	linkDelay  = 150 * time.Millisecond
	linkBuffer = 16 << 10
)

// proxy forwards connections to one address and misbehaves on command. It is
// safe for concurrent use.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault LinkFault
	pairs map[*pair]struct{}
}

// pair is a forwarded connection.
type pair struct {
	proxy            *proxy
	client, upstream net.Conn
	// muteUp and muteDown lose what the client and the server send.
	muteUp, muteDown bool
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.close(false)
	}
}

// set changes the fault, for open connections too.
func (p *proxy) set(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.pairs {
		if f == LinkReset {
			c.close(true)
		}
		c.mute(f)
	}
}

func (c *pair) mute(f LinkFault) {
	c.muteUp = c.muteUp || f == LinkBlackhole
	c.muteDown = c.muteDown || f == LinkBlackhole || f == LinkOneWay
}

func (c *pair) close(reset bool) {
	for _, conn := range []net.Conn{c.client, c.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		// The server does not listen: the client sees a reset instead.
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	c := &pair{proxy: p, client: client, upstream: upstream}
	p.mu.Lock()
	p.pairs[c] = struct{}{}
	c.mute(p.fault)
	if p.fault == LinkReset {
		c.close(true)
	}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go c.copy(upstream, client, &c.muteUp, done)
	go c.copy(client, upstream, &c.muteDown, done)
	<-done
	<-done
	c.close(false)
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy forwards one direction until it ends, and passes the end on.
func (c *pair) copy(to, from net.Conn, mute *bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		c.proxy.mu.Lock()
		muted, fault := *mute, c.proxy.fault
		c.proxy.mu.Unlock()
		if fault == LinkDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && !muted {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.close(true)
				return
			}
		}
		if err == io.EOF && !muted {
			// The other direction may still have bytes on their way.
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			c.close(!muted)
			return
		}
	}
}
