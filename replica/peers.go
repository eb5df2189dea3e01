package replica

import (
	"context"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// peerDialTimeout is long against the round trip between regions; a peer
	// that does not accept by then is left alone for a while.
	peerDialTimeout = 400 * time.Millisecond
	// peerRetryAfter is when a peer that was lost is tried again.
	peerRetryAfter = time.Second
	// peerIdleTimeout ends connections of peers that ask no more. Both ends send
	// something more often while a version spreads.
	peerIdleTimeout = 15 * time.Second
	// peerBuffer is the size of a connection's read buffer in bytes.
	peerBuffer = 4 << 10
	// answerLimit bounds a peer's message with a piece in bytes, queryLimit one that
	// asks for it.
	answerLimit = 16 << 20
	queryLimit  = 4 << 10
)

// peer is a connection to another agent while a version is fetched. run reads
// from it; ask belongs to the fetch's goroutine.
type peer struct {
	id, address string
	events      chan<- fetchEvent
	asks        chan int
}

// fetchEvent is what happens while a version is fetched.
type fetchEvent struct {
	source string
	// lost tells that the source cannot be reached.
	lost bool
	have []int
	// piece is a piece that was asked for, or peerlink.NoPiece.
	piece int
	data  []byte
	err   error
}

// run keeps a connection to the peer until ctx ends.
func (p *peer) run(ctx context.Context, model string, version int) {
	for ctx.Err() == nil {
		p.connect(ctx, model, version)
		p.send(ctx, fetchEvent{source: p.id, lost: true, piece: peerlink.NoPiece})
		wait(ctx, nil, peerRetryAfter)
	}
}

func (p *peer) send(ctx context.Context, e fetchEvent) {
	select {
	case <-ctx.Done():
	case p.events <- e:
	}
}

// connect asks for the pieces that are queued and passes on what the peer
// sends. It returns when the connection ends.
func (p *peer) connect(ctx context.Context, model string, version int) {
	dialer := net.Dialer{Timeout: peerDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	go p.write(ctx, conn, model, version)
	decode := msgstream.NewDecoder(conn, peerBuffer, answerLimit)
	for {
		if conn.SetReadDeadline(time.Now().Add(peerIdleTimeout)) != nil {
			return
		}
		var a peerlink.PieceResponse
		if decode.Decode(&a) != nil {
			return
		}
		p.send(ctx, fetchEvent{source: p.id, have: a.Have, piece: a.Piece, data: a.Data})
	}
}

// write sends the queued asks. A failed write ends the connection.
func (p *peer) write(ctx context.Context, conn net.Conn, model string, version int) {
	q := peerlink.PieceRequest{Model: model, Version: version, Piece: peerlink.NoPiece}
	for {
		if msgstream.Encode(conn, &q) != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case piece := <-p.asks:
			q = peerlink.PieceRequest{Piece: piece}
		}
	}
}
