// Package listen accepts connections between the system's processes. It exchanges Hello
// messages, checks that the peer is authorised for its role, and serves each connection
// on its own goroutine.
package listen

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/security"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// acceptRetryDelay is the delay after a failed Accept, for example if the process has no
// free file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Config configures a Server.
type Config struct {
	// Listener may be a connlimit.Listener: connections are kept once the peer is known.
	Listener net.Listener
	// Hello returns the first message that this process sends.
	Hello func() wire.Hello
	// Policy determines who may connect in which role; nil means plain text.
	Policy *security.Policy
	// Serve handles a connection until it fails or ctx ends. The server closes the
	// connection when ctx ends and after Serve returns.
	Serve func(ctx context.Context, conn *wire.Conn, peer wire.Hello)
	Log   *eventlog.Logger
}

// Server accepts connections until its context ends.
type Server struct {
	cfg      Config
	handlers sync.WaitGroup
}

// New returns a server that starts accepting connections when Run is called.
func New(cfg Config) *Server { return &Server{cfg: cfg} }

// Run accepts connections until ctx ends. It then closes the listener and all
// connections and waits for their goroutines.
func (s *Server) Run(ctx context.Context) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = s.cfg.Listener.Close()
	})
	defer func() {
		if !stop() {
			// The port is free only after the other call of Close has returned.
			<-closed
		}
		_ = s.cfg.Listener.Close()
	}()
	for ctx.Err() == nil {
		nc, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.handlers.Go(func() { s.handle(ctx, nc) })
	}
	s.handlers.Wait()
}

func (s *Server) handle(ctx context.Context, nc net.Conn) {
	remote, accepted := nc.RemoteAddr(), nc
	nc, roles, err := s.handshake(nc)
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
	if !allowsRole(roles, peer.Role) {
		s.cfg.Log.Log(eventlog.PeerRefused, "remote", remote, "instance", peer.Identity.Instance, "role", peer.Role)
		_ = conn.Send(&wire.ConnectionReject{Reason: "certificate does not allow the role"})
		return
	}
	if !connlimit.Keep(accepted) {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s.cfg.Serve(ctx, conn, peer)
}

func (s *Server) handshake(nc net.Conn) (net.Conn, []security.Role, error) {
	if s.cfg.Policy == nil {
		return nc, []security.Role{security.RoleEntry, security.RoleAgent}, nil
	}
	return s.cfg.Policy.ServerHandshake(nc, security.RoleEntry, security.RoleAgent)
}

// allowsRole reports whether the roles of a certificate include the role that the peer
// claims in its Hello.
func allowsRole(roles []security.Role, claimed wire.Role) bool {
	switch claimed {
	case wire.RoleEntry:
		return slices.Contains(roles, security.RoleEntry)
	case wire.RoleAgent:
		return slices.Contains(roles, security.RoleAgent)
	default:
		return false
	}
}
