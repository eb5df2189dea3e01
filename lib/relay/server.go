package relay

import (
	"context"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/msgstream"
)

const (
	// idleTimeout ends connections of followers that ask nothing more.
	idleTimeout = 30 * time.Second
	// writeTimeout ends connections that take nothing: half a megabyte goes over a
	// region's links in less.
	writeTimeout = 5 * time.Second
	// acceptPause is the pause after a connection that could not be accepted.
	acceptPause = 100 * time.Millisecond
	// maxConns bounds the connections of followers: a region of 200 entries has two
	// for each of them.
	maxConns = 512
	// buffer is the size of a connection's buffers in bytes.
	buffer = 1 << 10
	// queryLimit bounds a query in bytes, answerLimit an answer: a whole table, with
	// large rows compressed.
	queryLimit  = 1 << 10
	answerLimit = 8 << 20
)

// Server answers other instances from the caches of this one. It is safe for
// concurrent use.
type Server struct {
	tables map[string]*Cache
	// stopping reports that this instance is not to be followed any more.
	stopping func() bool
}

// NewServer returns a Server of the caches of some tables.
func NewServer(tables map[string]*Cache, stopping func() bool) *Server {
	return &Server{tables: tables, stopping: stopping}
}

// Run serves the listener until ctx ends.
func (s *Server) Run(ctx context.Context, ln net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	slots := make(chan struct{}, maxConns)
	for ctx.Err() == nil {
		conn, err := ln.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(acceptPause):
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

// serve answers the queries of one connection, one after another.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	decode := msgstream.NewDecoder(conn, buffer, queryLimit)
	for {
		if conn.SetReadDeadline(time.Now().Add(idleTimeout)) != nil {
			return
		}
		var q query
		if decode.Decode(&q) != nil || s.answer(ctx, conn, &q) != nil {
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

// answer answers one query, at the next change if there is none yet.
func (s *Server) answer(ctx context.Context, conn net.Conn, q *query) error {
	cache := s.tables[q.Table]
	if cache == nil {
		return s.send(conn, &answer{Stale: true})
	}
	end := time.Now().Add(time.Duration(q.WaitMillis) * time.Millisecond)
	check := time.NewTicker(share(cache.config.MaxPropagation, checkShare))
	defer check.Stop()
	tell := false
	for {
		a, changed := cache.since(q.Since)
		now := time.Now()
		if s.stopping() || !cache.fresh(q.Direct, now) {
			return s.send(conn, &answer{Stale: true})
		}
		if a.Stale || a.HistoryLost || len(a.Rows) > 0 || q.Since < 0 || !now.Before(end) {
			return s.send(conn, &a)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-check.C:
			if tell = !tell; tell {
				continue
			}
			if err := s.send(conn, &answer{Alive: true}); err != nil {
				return err
			}
		}
	}
}
