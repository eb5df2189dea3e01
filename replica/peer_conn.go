package replica

import (
	"context"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/lib/msgstream"
	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// peerDialTimeout is long compared with the round trip between regions. A peer
	// that doesn't accept within it is retried later.
	peerDialTimeout = 400 * time.Millisecond
	// peerRetryDelay is the time until a lost peer is dialled again.
	peerRetryDelay = time.Second
	// peerIdleTimeout closes the connections of silent peers. While a version
	// spreads, both ends send more often.
	peerIdleTimeout = 15 * time.Second
	// peerBufferBytes is the size of a connection's read buffer.
	peerBufferBytes = 4 << 10
	// maxResponseBytes bounds a peer's response, which carries a piece;
	// maxRequestBytes bounds a request.
	maxResponseBytes = 16 << 20
	maxRequestBytes  = 4 << 10
)

// peerConn is the connection to another agent during a fetch. run reads from it;
// requests are queued by the fetch's goroutine.
type peerConn struct {
	id, address string
	events      chan<- fetchEvent
	requests    chan int
}

// fetchEvent is an event during a fetch.
type fetchEvent struct {
	source string
	// lost means that the source cannot be reached.
	lost bool
	have []int
	// piece is the requested piece, or peerlink.NoPiece.
	piece int
	data  []byte
	// narrow is set if a peer reports that its link is narrow.
	narrow bool
	// transfer is the time between the first and the last byte of a peer's response.
	transfer time.Duration
	err      error
}

// run keeps a connection to the peer until ctx ends.
func (p *peerConn) run(ctx context.Context, model string, version int) {
	for ctx.Err() == nil {
		p.exchange(ctx, model, version)
		p.send(ctx, fetchEvent{source: p.id, lost: true, piece: peerlink.NoPiece})
		wait(ctx, nil, peerRetryDelay)
	}
}

func (p *peerConn) send(ctx context.Context, e fetchEvent) {
	select {
	case <-ctx.Done():
	case p.events <- e:
	}
}

// exchange sends queued requests and passes on the peer's responses. It returns
// when the connection ends.
func (p *peerConn) exchange(ctx context.Context, model string, version int) {
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
	go p.writeRequests(ctx, conn, model, version)
	reader := &arrivalReader{source: conn}
	decoder := msgstream.NewDecoder(reader, peerBufferBytes, maxResponseBytes)
	for {
		if conn.SetReadDeadline(time.Now().Add(peerIdleTimeout)) != nil {
			return
		}
		var resp peerlink.PieceResponse
		if decoder.Decode(&resp) != nil {
			return
		}
		p.send(ctx, fetchEvent{source: p.id, have: resp.Have, piece: resp.Piece, data: resp.Data, narrow: resp.Narrow, transfer: reader.sinceArrival()})
	}
}

// writeRequests sends queued requests. A failed write closes the connection.
func (p *peerConn) writeRequests(ctx context.Context, conn net.Conn, model string, version int) {
	req := peerlink.PieceRequest{Model: model, Version: version, Piece: peerlink.NoPiece}
	for {
		if msgstream.Encode(conn, &req) != nil {
			_ = conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case piece := <-p.requests:
			req = peerlink.PieceRequest{Piece: piece}
		}
	}
}
