package replica

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// maxPeerConns bounds the connections of peers; each costs a buffer.
	maxPeerConns = 256
	// acceptPause keeps a failing listener from spinning.
	acceptPause = 50 * time.Millisecond
	// announceInterval is how often a peer is told of new pieces, which bounds
	// the number of messages.
	announceInterval = 50 * time.Millisecond
	// versionWait is how long a peer waits for this instance to learn of a
	// version that it has not heard of yet.
	versionWait = 5 * time.Second
)

// servePeers answers peers until the listener closes.
func (r *Replica) servePeers(ctx context.Context, ln net.Listener) {
	slots := make(chan struct{}, maxPeerConns)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				r.servePeer(ctx, conn)
			}()
		default:
			_ = conn.Close()
		}
	}
}

// peerSession serves one peer.
type peerSession struct {
	replica  *Replica
	conn     net.Conn
	holdings *holdings

	// mu keeps messages apart.
	mu sync.Mutex
}

// servePeer answers one peer's queries in order, and tells it of new pieces.
func (r *Replica) servePeer(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	s := &peerSession{replica: r, conn: conn}
	decode := msgstream.NewDecoder(conn, peerBuffer, queryLimit)
	for {
		if conn.SetReadDeadline(time.Now().Add(peerIdleTimeout)) != nil {
			return
		}
		var q peerlink.PieceRequest
		if decode.Decode(&q) != nil {
			return
		}
		if q.Piece == peerlink.ManifestOnly {
			r.sendManifest(ctx, s, &q)
			return
		}
		if s.holdings == nil {
			if s.holdings = r.holdingsFor(ctx, q.Model, q.Version); s.holdings == nil {
				return
			}
			go s.announce(ctx)
		}
		if q.Piece != peerlink.NoPiece && !s.sendPiece(ctx, q.Piece) {
			return
		}
	}
}

// holdingsFor returns the holdings of a version, which this instance may learn
// of a little later than its peer.
func (r *Replica) holdingsFor(ctx context.Context, model string, version int) *holdings {
	ctx, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	return r.awaitHoldings(ctx, model, version)
}

func (s *peerSession) send(a *peerlink.PieceResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn.SetWriteDeadline(time.Now().Add(peerIdleTimeout)) == nil && msgstream.Encode(s.conn, a) == nil
}

// announce tells the peer of the pieces that are here until ctx ends.
func (s *peerSession) announce(ctx context.Context) {
	told := make(map[int]bool)
	for ctx.Err() == nil {
		pieces, changed := s.holdings.held()
		var fresh []int
		for _, piece := range pieces {
			if !told[piece] {
				told[piece] = true
				fresh = append(fresh, piece)
			}
		}
		if len(fresh) > 0 && !s.send(&peerlink.PieceResponse{Have: fresh, Piece: peerlink.NoPiece}) {
			_ = s.conn.Close()
			return
		}
		wait(ctx, changed, 0)
		wait(ctx, nil, announceInterval)
	}
}

// sendPiece sends a piece, or that it is not here.
func (s *peerSession) sendPiece(ctx context.Context, piece int) bool {
	a := &peerlink.PieceResponse{Piece: piece}
	if piece >= 0 && piece < len(s.holdings.manifest.Digests) {
		a.Data = s.holdings.get(ctx, piece)
	}
	release, err := s.replica.uploads.acquire(ctx, len(a.Data), s.replica.serving())
	if err != nil {
		return false
	}
	defer release()
	return s.send(a)
}
