package security

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// handshakeTimeout bounds the TLS handshake of an accepted connection, so that
// a silent client holds no goroutine for long.
const handshakeTimeout = 3 * time.Second

// Dial connects to a peer that acts in one of the given roles and completes the
// TLS handshake, where configured.
func (p *Policy) Dial(ctx context.Context, address string, roles ...Role) (net.Conn, error) {
	if p.plaintext {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: p.ClientTLSConfig(roles...)}).DialContext(ctx, "tcp", address)
}

// ServerHandshake completes the TLS handshake, where configured, on a connection that
// was accepted, and returns the roles that the peer may act in. It closes nc
// when it fails. It is called on the connection's own goroutine.
func (p *Policy) ServerHandshake(nc net.Conn, roles ...Role) (net.Conn, []Role, error) {
	if p.plaintext {
		return nc, roles, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	conn := tls.Server(nc, p.ServerTLSConfig(roles...))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, nil, merry.Wrap(err)
	}
	held := p.PeerRoles(conn.ConnectionState())
	held = slices.DeleteFunc(held, func(r Role) bool { return !slices.Contains(roles, r) })
	return conn, held, nil
}
