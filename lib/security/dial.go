package security

import (
	"context"
	"crypto/tls"
	"net"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// handshakeTimeout limits the TLS handshake of an accepted connection, so that a
// silent client does not block a goroutine for long.
const handshakeTimeout = 3 * time.Second

// Dial connects to a peer and completes the TLS handshake, unless the policy is plain
// text. The peer must be authorised for one of the given roles.
func (p *Policy) Dial(ctx context.Context, address string, roles ...Role) (net.Conn, error) {
	if p.plaintext {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: p.ClientTLSConfig(roles...)}).DialContext(ctx, "tcp", address)
}

// ServerHandshake completes the TLS handshake on an accepted connection, unless the
// policy is plain text, and returns those of the given roles that the peer is
// authorised for; for plain text it returns nc and all of them. It closes nc on failure.
// It blocks for up to 3 s, so it must be called on the connection's own goroutine.
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
	authorised := p.PeerRoles(conn.ConnectionState())
	authorised = slices.DeleteFunc(authorised, func(r Role) bool { return !slices.Contains(roles, r) })
	return conn, authorised, nil
}
