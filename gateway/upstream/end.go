package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrCancelled means that an exchange was cancelled before its server had the whole request.
var ErrCancelled = errors.New("exchange was cancelled")

// maxDiscardBytes bounds what is read from a server after its response.
const maxDiscardBytes = 64 << 10

// Cancel closes the connection, which tells the server to stop, unless the response has been
// read: what is left of the request is then due to the server.
func (x *Exchange) Cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.completed || x.cancelled {
		return
	}
	x.cancelled, x.cut = true, !x.IsTaken()
	_ = x.conn.Close()
}

// Complete tells that the response has been read. From then on Cancel and the end of the
// context change nothing, and the exchange ends with Finish. If it was cancelled before, it
// ends with Close, and Complete returns ErrCancelled unless the server had the whole request.
func (x *Exchange) Complete() error {
	x.stopCancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cut {
		return ErrCancelled
	}
	x.completed = !x.cancelled
	return nil
}

// IsCompleted reports whether the exchange must end with Finish.
func (x *Exchange) IsCompleted() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.completed
}

// IsTaken reports whether the operating system of the server has acknowledged the whole
// request. It must have sent its response.
func (x *Exchange) IsTaken() bool {
	if x.bodyBytes == 0 {
		return true
	}
	if !x.upload.ended() || x.upload.err != nil {
		return false
	}
	taken, err := x.isAcknowledged()
	return taken && err == nil
}

// Finish sends what is left of the request after Complete, and closes the connection once the
// operating system of the server has acknowledged it. It returns an error if the server ends
// the connection before that or takes too long, and the cause of the end of ctx.
func (x *Exchange) Finish(ctx context.Context) error {
	defer x.Close()
	if x.IsTaken() {
		return nil
	}
	// Connections that are closed with unread bytes are reset, and the rest would be lost.
	x.SetReadDeadline(time.Time{})
	go func() { _, _ = io.CopyN(io.Discard, x.conn, maxDiscardBytes) }()
	return x.awaitTaken(ctx)
}

// Close closes the connection.
func (x *Exchange) Close() {
	x.stopCancel()
	x.prober.Stop()
	_ = x.conn.Close()
}
