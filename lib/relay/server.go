package relay

import (
	"context"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/msgstream"
)

const (
	// idleTimeout is the time after which a connection without a query is
	// closed.
	idleTimeout = 30 * time.Second
	// writeTimeout is the time limit for sending an answer. Half a megabyte
	// takes less over the links of a region.
	writeTimeout = 5 * time.Second
	// acceptRetryDelay is the pause after a connection could not be accepted.
	acceptRetryDelay = 100 * time.Millisecond
	// maxConnections is the maximum number of connections of followers: a
	// region of 200 entries has two per entry.
	maxConnections = 512
	// bufferSize is the size of a connection's read buffer in bytes.
	bufferSize = 1 << 10
	// maxQuerySize and maxAnswerSize are the maximum encoded sizes in bytes. An
	// answer may contain a whole table, with large rows compressed.
	maxQuerySize  = 1 << 10
	maxAnswerSize = 8 << 20
)

// Server answers queries of other instances from the caches of this instance.
// It is safe for concurrent use.
type Server struct {
	tables map[string]*Cache
	// stopping reports whether this instance must no longer be followed.
	stopping func() bool
}

// NewServer returns a Server for caches by table name. stopping must be safe
// for concurrent use.
func NewServer(tables map[string]*Cache, stopping func() bool) *Server {
	return &Server{tables: tables, stopping: stopping}
}

// Run accepts and serves connections until ctx ends. It closes the listener.
func (s *Server) Run(ctx context.Context, ln net.Listener) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		_ = ln.Close()
	}()
	defer func() { <-closed }()
	slots := make(chan struct{}, maxConnections)
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				s.serve(ctx, conn)
			}()
		default:
			_ = conn.Close()
		}
	}
}

// serve answers the queries of one connection, one after the other.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	decoder := msgstream.NewDecoder(conn, bufferSize, maxQuerySize)
	for {
		if conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		var q query
		if decoder.Decode(&q) != nil || !connlimit.Keep(conn) || s.answer(ctx, conn, &q) != nil {
			return
		}
	}
}

func (s *Server) send(conn net.Conn, a *answer) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return msgstream.Encode(conn, a)
}

// answer answers one query. It waits for a change if there is none, and sends
// keep-alive messages meanwhile.
func (s *Server) answer(ctx context.Context, conn net.Conn, q *query) error {
	cache := s.tables[q.Table]
	if cache == nil {
		return s.send(conn, &answer{Number: q.Number, Stale: true})
	}
	deadline := time.Now().Add(time.Duration(q.WaitMillis) * time.Millisecond)
	check := time.NewTicker(fraction(cache.config.MaxPropagation, checkFraction))
	defer check.Stop()
	skipAlive := false
	for {
		a, changed := cache.changesSince(q.since(cache.known()))
		now := time.Now()
		if s.stopping() || !cache.fresh(q.Direct, now) {
			return s.send(conn, &answer{Number: q.Number, Stale: true})
		}
		if a.Stale || a.HistoryLost || len(a.Rows) > 0 || q.Since < 0 || !now.Before(deadline) {
			a.Number = q.Number
			return s.send(conn, &a)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-check.C:
			if skipAlive = !skipAlive; skipAlive {
				continue
			}
			if err := s.send(conn, &answer{Alive: true}); err != nil {
				return err
			}
		}
	}
}
