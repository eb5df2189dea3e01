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
	// progress, and idle those that wait for their next one.
	unused       map[net.Conn]time.Time
	active, idle map[net.Conn]bool
}

// watchedConn is a callerConn, or a connection that embeds one.
type watchedConn interface {
	setState(state http.ConnState)
	setBegun(begun bool)
	hasBegun() bool
	stopReading()
	resumeReading()
}

// observe is the ConnState hook of the server.
func (c *callerConns) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused == nil {
		c.unused, c.active, c.idle = make(map[net.Conn]time.Time), make(map[net.Conn]bool), make(map[net.Conn]bool)
	}
	delete(c.unused, conn)
	delete(c.active, conn)
	delete(c.idle, conn)
	watched, isWatched := conn.(watchedConn)
	if isWatched {
		watched.setState(state)
	}
	switch state {
	case http.StateNew:
		c.unused[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
		if isWatched {
			watched.resumeReading()
		}
	case http.StateIdle:
		c.idle[conn] = true
		if isWatched {
			watched.setBegun(false)
		}
	}
}

// awaitRequests closes the idle connections, and blocks until no request is in progress or
// expected, or until ctx ends.
//
// The server's own ways to close idle connections also close one whose next request is being
// read: it has the state of an idle one until the whole head was read. The request would run
// and its answer would be lost.
func (c *callerConns) awaitRequests(ctx context.Context) {
	for c.closeIdle(time.Now()) && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(connPollInterval):
		}
	}
}

// closeIdle closes the idle connections, and reports whether a request is in progress or
// expected, or a connection is not closed yet.
func (c *callerConns) closeIdle(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, accepted := range c.unused {
		if watched, ok := conn.(watchedConn); ok && watched.hasBegun() || now.Sub(accepted) < silentConnTime {
			return true
		}
	}
	for conn := range c.idle {
		// Repeated, as the server sets a read deadline once the connection is idle.
		if watched, ok := conn.(watchedConn); ok {
			watched.stopReading()
		}
	}
	return len(c.active)+len(c.idle) > 0
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
