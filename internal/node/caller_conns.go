package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// silentConnTime is the time after which a new connection that has sent nothing no
	// longer delays a stop.
	silentConnTime = time.Second
	// connPollInterval is how often a stop checks whether requests are in progress.
	connPollInterval = 5 * time.Millisecond
)

// callerConns tracks the connections of callers on which a request is in progress or
// expected. Its zero value is ready to use. It is safe for concurrent use.
type callerConns struct {
	mu sync.Mutex
	// unused are the connections on which no whole head of a request has been read yet,
	// with the time at which they were accepted. active are those with a request in
	// progress.
	unused map[net.Conn]time.Time
	active map[net.Conn]bool
}

// observe is the ConnState hook of the server.
func (c *callerConns) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused == nil {
		c.unused, c.active = make(map[net.Conn]time.Time), make(map[net.Conn]bool)
	}
	delete(c.unused, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.unused[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	}
}

// awaitRequests blocks until no request is in progress or expected, or until ctx ends.
func (c *callerConns) awaitRequests(ctx context.Context) {
	for c.busy(time.Now()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(connPollInterval):
		}
	}
}

func (c *callerConns) busy(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, accepted := range c.unused {
		if caller, ok := conn.(*callerConn); ok && caller.begun.Load() || now.Sub(accepted) < silentConnTime {
			return true
		}
	}
	return len(c.active) > 0
}

// closeUnused closes the connections on which no whole head of a request has been read.
// The server must not serve requests any more.
func (c *callerConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.unused {
		_ = conn.Close()
	}
}
