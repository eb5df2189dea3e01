package transfer

import (
	"context"
	"sync"

	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// maxIdlePerPeer is the maximum number of idle connections to one peer.
	maxIdlePerPeer = 4
	// maxIdleTotal is the maximum number of idle connections to all peers.
	maxIdleTotal = 64
)

// connPool keeps idle connections to peers for reuse. A connection carries one
// request at a time. The pool is safe for concurrent use.
type connPool struct {
	dial func(ctx context.Context, address string) (*wire.Conn, error)

	mu     sync.Mutex
	closed bool
	idle   map[string][]*wire.Conn
	total  int
}

func newConnPool(dial func(context.Context, string) (*wire.Conn, error)) *connPool {
	return &connPool{dial: dial, idle: make(map[string][]*wire.Conn)}
}

// get returns an idle connection, which the peer may have closed in the
// meantime, or a new one.
func (p *connPool) get(ctx context.Context, address string) (conn *wire.Conn, reused bool, err error) {
	p.mu.Lock()
	if list := p.idle[address]; len(list) > 0 {
		conn = list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.total--
		p.mu.Unlock()
		return conn, true, nil
	}
	p.mu.Unlock()
	conn, err = p.dial(ctx, address)
	return conn, false, err
}

// put returns a connection without an outstanding reply to the pool.
func (p *connPool) put(address string, conn *wire.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.total >= maxIdleTotal || len(p.idle[address]) >= maxIdlePerPeer {
		_ = conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], conn)
	p.total++
}

// closeIdle closes the idle connections to a peer after one connection failed,
// since the others have probably failed as well.
func (p *connPool) closeIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
		p.total--
	}
	delete(p.idle, address)
}

// close closes all idle connections. Connections returned later are closed too.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
	p.total = 0
}
