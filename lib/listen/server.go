// Package listen accepts connections of the system's own processes: it exchanges
// Hello messages, checks that the peer may act in its role, and hands each
// connection to a goroutine of its own.
package listen

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/security"
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
	// Policy says who may connect in which role; nil means plain text.
	Policy *security.Policy
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
	nc, roles, err := s.secure(nc)
	if err != nil {
		s.cfg.Log.Log(eventlog.PeerRefused, "remote", remote, "err", err)
		return
	}
	conn, peer, err := wire.Handshake(nc, s.cfg.Hello())
	if err != nil {
		s.cfg.Log.Log(eventlog.PeerRefused, "remote", remote, "err", err)
		return
	}
	defer func() { _ = conn.Close() }()
	if !mayAct(roles, peer.Role) {
		s.cfg.Log.Log(eventlog.PeerRefused, "remote", remote, "instance", peer.Identity.Instance, "role", peer.Role)
		_ = conn.Send(&wire.ConnectionReject{Reason: "certificate does not allow the role"})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s.cfg.Serve(ctx, conn, peer)
}

func (s *Server) secure(nc net.Conn) (net.Conn, []security.Role, error) {
	if s.cfg.Policy == nil {
		return nc, []security.Role{security.RoleEntry, security.RoleAgent}, nil
	}
	return s.cfg.Policy.ServerHandshake(nc, security.RoleEntry, security.RoleAgent)
}

// mayAct reports whether the roles of a certificate include the one that the
// peer names in its Hello.
func mayAct(roles []security.Role, claimed wire.Role) bool {
	switch claimed {
	case wire.RoleEntry:
		return slices.Contains(roles, security.RoleEntry)
	case wire.RoleAgent:
		return slices.Contains(roles, security.RoleAgent)
	default:
		return false
	}
}
