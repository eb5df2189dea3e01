// Package listen accepts connections of the system's own processes: it exchanges
// Hello messages, checks that the peer may act in its role, and hands each
// connection to a goroutine of its own.
package listen

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// acceptPause is the wait after a failed accept, for instance when the process
// has no free file descriptors.
const acceptPause = 50 * time.Millisecond

// Config sets up a Server.
type Config struct {
	Listener net.Listener
	// Hello returns what this process sends first.
	Hello func() wire.Hello
	// Authorize checks the certificate behind a connection against the role that
	// the peer names; nil allows all, for plain text.
	Authorize func(nc net.Conn, role wire.Role) error
	// Serve handles a connection until it fails. It closes the connection when
	// ctx ends.
	Serve func(ctx context.Context, conn *wire.Conn, peer wire.Hello)
	Log   *eventlog.Logger
}

// Server accepts connections until its context ends.
type Server struct {
	cfg   Config
	tasks sync.WaitGroup
}

// New returns a server that accepts when Run is called.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Run accepts connections until ctx ends, then closes the listener and waits
// for the connections to end.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	for ctx.Err() == nil {
		nc, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.tasks.Go(func() { s.handle(ctx, nc) })
	}
	s.tasks.Wait()
}

func (s *Server) handle(ctx context.Context, nc net.Conn) {
	remote := nc.RemoteAddr()
	conn, peer, err := wire.Handshake(nc, s.cfg.Hello())
	if err != nil {
		s.cfg.Log.Log(eventlog.PeerRefused, "remote", remote, "err", err)
		return
	}
	defer func() { _ = conn.Close() }()
	if s.cfg.Authorize != nil {
		if err := s.cfg.Authorize(nc, peer.Role); err != nil {
			s.cfg.Log.Log(eventlog.PeerRefused, "remote", remote, "instance", peer.Identity.Instance, "err", err)
			return
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s.cfg.Serve(ctx, conn, peer)
}
