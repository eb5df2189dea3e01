package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/internal/loopback"
)

// LinkFault is a fault of a network link.
type LinkFault int

// Link faults.
const (
	LinkHealthy LinkFault = iota
	// LinkDelayed delays all data.
	LinkDelayed
	// LinkReset resets open and new connections.
	LinkReset
	// LinkOneWay drops the data that the server sends. Affected connections continue to
	// drop it after the fault.
	LinkOneWay
	// LinkBlackhole drops all data. Affected connections continue to drop it after the
	// fault.
	LinkBlackhole
)

const (
	linkDelay      = 150 * time.Millisecond
	linkBufferSize = 16 << 10
)

// proxy forwards connections to one address and injects link faults. It is safe for
// concurrent use.
type proxy struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	fault LinkFault
	conns map[*connPair]struct{}
}

// connPair is a forwarded connection. Its drop flags are guarded by proxy.mu.
type connPair struct {
	proxy            *proxy
	client, upstream net.Conn
	// dropFromClient and dropFromServer drop the data that the client or the server
	// sends.
	dropFromClient, dropFromServer bool
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := loopback.Listen(listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: make(map[*connPair]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close(false)
	}
}

// setFault changes the fault, also for open connections.
func (p *proxy) setFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	for c := range p.conns {
		if f == LinkReset {
			c.close(true)
		}
		c.applyFault(f)
	}
}

func (c *connPair) applyFault(f LinkFault) {
	c.dropFromClient = c.dropFromClient || f == LinkBlackhole
	c.dropFromServer = c.dropFromServer || f == LinkBlackhole || f == LinkOneWay
}

func (c *connPair) close(reset bool) {
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
		// The server does not listen. The client gets a reset instead of a refusal.
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = client.Close()
		return
	}
	c := &connPair{proxy: p, client: client, upstream: upstream}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	c.applyFault(p.fault)
	if p.fault == LinkReset {
		c.close(true)
	}
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go c.copy(upstream, client, &c.dropFromClient, done)
	go c.copy(client, upstream, &c.dropFromServer, done)
	<-done
	<-done
	c.close(false)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards the data of one direction and its end, unless *drop is true.
func (c *connPair) copy(to, from net.Conn, drop *bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		c.proxy.mu.Lock()
		dropped, fault := *drop, c.proxy.fault
		c.proxy.mu.Unlock()
		if fault == LinkDelayed {
			time.Sleep(linkDelay)
		}
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				c.close(true)
				return
			}
		}
		if err == io.EOF && !dropped {
			// The other direction may still be in use.
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			c.close(!dropped)
			return
		}
	}
}
