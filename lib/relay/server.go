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

// answer answers one query. It waits for a change if there is none, or as long as the query
// allows it for this instance to become up to date, and sends keep-alive messages meanwhile. Rows
// are answered only if they were confirmed recently: while an answer of the store arrives that
// takes longer, followers that have newer ones must not get them.
func (s *Server) answer(ctx context.Context, conn net.Conn, q *query) error {
	cache := s.tables[q.Table]
	if cache == nil {
		return s.send(conn, &answer{Number: q.Number, Stale: true})
	}
	bound := cache.config.MaxPropagation
	began := time.Now()
	deadline := began.Add(time.Duration(q.WaitMillis) * time.Millisecond)
	heldUntil := began.Add(min(time.Duration(q.HoldMillis)*time.Millisecond, fraction(bound, holdFraction)))
	check := time.NewTicker(fraction(bound, checkFraction))
	defer check.Stop()
	held := time.NewTimer(time.Until(heldUntil))
	defer held.Stop()
	skipAlive := false
	// announce makes a query that is held get a keep-alive message at once: its sender leaves
	// silent instances soon.
	announce := true
	for {
		now, holding := time.Now(), false
		if q.StandIn {
			cache.askToStandIn(now)
		}
		a, changed := cache.changesSince(q.since(cache.known()))
		f := cache.freshness(q.Direct, now)
		stale := &answer{Number: q.Number, Stale: true, Confirmed: ageOf(f.age)}
		var expires <-chan time.Time
		switch {
		case s.stopping():
			return s.send(conn, stale)
		case f.recent && (a.HistoryLost || len(a.Rows) > 0 || !a.Stale && (q.Since < 0 || !now.Before(deadline))):
			a.Number = q.Number
			return s.send(conn, &a)
		case !a.Stale && (f.recent || f.waiting && q.Direct):
			expires = time.After(f.ends.Sub(now) + time.Millisecond)
		case q.HoldMillis > 0 && !(q.StandIn && cache.refusesStandIn(now) && cache.fresh(false, now)) && (now.Before(heldUntil) || cache.receiving(now)):
			if cache.refusesStandIn(now) {
				// It may turn out to follow no other instance, and then reads the store.
				expires = time.After(roleCheckInterval)
			}
			if holding = true; announce {
				announce = false
				if err := s.send(conn, &answer{Alive: true}); err != nil {
					return err
				}
			}
		default:
			return s.send(conn, stale)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-held.C:
			announce = true
		case <-expires:
		case <-check.C:
			if skipAlive = !skipAlive; skipAlive && !holding {
				continue
			}
			alive := &answer{Alive: true}
			if !holding {
				alive.Confirmed = ageOf(cache.freshness(q.Direct, time.Now()).age)
			}
			if err := s.send(conn, alive); err != nil {
				return err
			}
		}
	}
}
