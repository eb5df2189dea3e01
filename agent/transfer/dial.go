package transfer

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/wire"
)

// dial opens a connection and performs the handshake.
func (s *Service) dial(ctx context.Context, address string) (*wire.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.DialTimeout)
	defer cancel()
	nc, err := s.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	// wire.Handshake has a deadline of its own, but a canceled fetch must not
	// wait for it.
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	conn, _, err := wire.Handshake(nc, wire.Hello{Role: wire.RoleAgent, Identity: s.cfg.Identity, Pool: s.cfg.Pool})
	if !stop() && err == nil {
		_ = conn.Close()
		return nil, ctx.Err()
	}
	return conn, err
}
