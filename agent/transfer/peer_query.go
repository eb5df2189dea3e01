package transfer

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// queryPeer asks a peer in the background which chunks of a version it holds,
// for use in trackerless mode. The reply is sent to bitmaps; if the query
// fails, nothing is sent.
func (s *Service) queryPeer(address string, version model.Digest, bitmaps chan<- peerBitmap) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		ctx, cancel := context.WithTimeout(s.ctx, s.cfg.DialTimeout)
		defer cancel()
		conn, _, err := s.pool.get(ctx, address)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		_ = conn.SetReadDeadline(time.Now().Add(s.cfg.DialTimeout))
		have, err := queryBitmap(conn, version)
		if !stop() || err != nil {
			_ = conn.Close()
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		s.pool.put(address, conn)
		select {
		case bitmaps <- peerBitmap{address: address, version: version, have: have}:
		case <-s.ctx.Done():
		}
	}()
}

// queryBitmap requests the bitmap of a version over a connection. It returns
// errAbsent if the reply is not the bitmap of that version.
func queryBitmap(conn *wire.Conn, version model.Digest) ([]byte, error) {
	if err := conn.Send(&wire.Announce{Manifest: version}); err != nil {
		return nil, err
	}
	m, err := conn.Receive()
	if err != nil {
		return nil, err
	}
	if a, ok := m.(*wire.Announce); ok && a.Manifest == version {
		return a.ChunkBitmap, nil
	}
	return nil, errAbsent
}
