package replica

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/connlimit"
	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// defaultMaxPeerConns is the default of Config.MaxPeerConns.
	defaultMaxPeerConns = 256
	// acceptRetryDelay keeps a failing listener from causing a busy loop.
	acceptRetryDelay = 50 * time.Millisecond
	// announceInterval is the minimum time between two announcements of new pieces
	// to a peer, for each peersPerAnnounceInterval connected peers. It bounds the number of
	// messages that an instance sends, and those of a region, whose instances are all
	// connected, to a multiple of their number.
	announceInterval         = 50 * time.Millisecond
	peersPerAnnounceInterval = 8
	// maxAnnounceInterval bounds the time by which announcements delay a piece.
	maxAnnounceInterval = 250 * time.Millisecond
	// versionWaitTimeout is how long a peer's request waits for this instance to
	// learn of the requested version.
	versionWaitTimeout = 5 * time.Second
)

// servePeers serves connections from peers until ctx ends.
func (r *Replica) servePeers(ctx context.Context, ln net.Listener) {
	limited := connlimit.Listen(ln, cmp.Or(r.config.MaxPeerConns, defaultMaxPeerConns))
	for {
		conn, err := limited.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go r.servePeer(ctx, conn)
	}
}

// peerSession is the connection of one peer.
type peerSession struct {
	replica *Replica
	conn    net.Conn
	pieces  *pieceSet
	// reader reads the pieces that are staged at the engine.
	reader *stagedReader

	// mu serializes writes to conn.
	mu sync.Mutex
}

// servePeer answers a peer's requests in order and announces new pieces to it.
func (r *Replica) servePeer(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	r.peerSessions.Add(1)
	defer r.peerSessions.Add(-1)
	s := &peerSession{replica: r, conn: conn}
	decoder := msgstream.NewDecoder(conn, peerBufferBytes, maxRequestBytes)
	for {
		if conn.SetReadDeadline(time.Now().Add(peerIdleTimeout)) != nil {
			return
		}
		var req peerlink.PieceRequest
		if decoder.Decode(&req) != nil || !connlimit.Keep(conn) {
			return
		}
		if req.Piece == peerlink.ManifestOnly {
			r.sendManifest(ctx, s, &req)
			return
		}
		if s.pieces == nil {
			if s.pieces = r.awaitPiecesWithTimeout(ctx, req.Model, req.Version); s.pieces == nil {
				return
			}
			s.reader = s.pieces.newReader()
			defer s.reader.reset()
			go s.announce(ctx)
		}
		if req.Piece != peerlink.NoPiece && !s.sendPiece(ctx, req.Piece) {
			return
		}
	}
}

// awaitPiecesWithTimeout is awaitPieces with a limit of versionWaitTimeout.
func (r *Replica) awaitPiecesWithTimeout(ctx context.Context, model string, version int) *pieceSet {
	ctx, cancel := context.WithTimeout(ctx, versionWaitTimeout)
	defer cancel()
	return r.awaitPieces(ctx, model, version)
}

func (s *peerSession) send(resp *peerlink.PieceResponse) bool {
	resp.Narrow = s.replica.linkDelay.Load() > 0
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn.SetWriteDeadline(time.Now().Add(peerIdleTimeout)) == nil && msgstream.Encode(s.conn, resp) == nil
}

// announcementInterval returns the time between two announcements to each of a number of
// peers.
func announcementInterval(peers int) time.Duration {
	intervals := max(1, peers/peersPerAnnounceInterval)
	return min(time.Duration(intervals)*announceInterval, maxAnnounceInterval)
}

// announce tells the peer which pieces are present, until ctx ends.
func (s *peerSession) announce(ctx context.Context) {
	announced := make(map[int]bool)
	for ctx.Err() == nil {
		pieces, changed := s.pieces.held()
		var added []int
		for _, piece := range pieces {
			if !announced[piece] {
				announced[piece] = true
				added = append(added, piece)
			}
		}
		if len(added) > 0 && !s.send(&peerlink.PieceResponse{Have: added, Piece: peerlink.NoPiece}) {
			_ = s.conn.Close()
			return
		}
		wait(ctx, changed, 0)
		wait(ctx, nil, announcementInterval(int(s.replica.peerSessions.Load())))
	}
}

// sendPiece sends a piece, or an empty response if it is missing. It returns
// false if the connection should be closed.
func (s *peerSession) sendPiece(ctx context.Context, piece int) bool {
	resp := &peerlink.PieceResponse{Piece: piece}
	if piece >= 0 && piece < len(s.pieces.manifest.Digests) {
		resp.Data = s.pieces.get(ctx, s.reader, piece)
	}
	release, err := s.replica.uploadLimiter.acquire(ctx, len(resp.Data), s.replica.hasWeights())
	if err != nil {
		return false
	}
	defer release()
	return s.send(resp)
}
