package caller

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/auburnbend/auburnbend/lib/memory"
)

const (
	// maxReadBytes limits one read of a chunked body: the HTTP library buffers that part of a
	// chunk before it returns it.
	maxReadBytes = 16 << 10
	// discardTimeout limits the time for which the rest of a refused body is read and dropped,
	// so that a caller that reads its answer last gets it. It is shorter for a body of unknown
	// length, which is dropped before the answer, and for one beyond maxBodyBytes.
	discardTimeout     = 10 * time.Second
	longDiscardTimeout = time.Second
	// unknownLength is the length of a body that is sent in chunks.
	unknownLength = -1
)

// errBodyContinues means that a body may have more bytes than have been read.
var errBodyContinues = errors.New("body continues")

// body is the body of a request that is still in its caller's connection.
type body struct {
	ctx  *app.RequestContext
	conn *conn
	// length is the announced length, or unknownLength.
	length int64
	// complete is true once the body has been read to its end.
	complete bool
}

func newBody(c context.Context, ctx *app.RequestContext) *body {
	b := &body{ctx: ctx, length: int64(ctx.Request.Header.ContentLength())}
	b.conn, _ = c.Value(connKey{}).(*conn)
	if !ctx.Request.IsBodyStream() {
		b.length = 0
	}
	b.complete = b.length == 0
	return b
}

// interrupt makes a read that is in progress fail.
func (b *body) interrupt() { _ = b.conn.SetReadDeadline(time.Unix(1, 0)) }

// read reads until buf is full or the body ends, and returns what it has read. The error is
// nil if that is the whole body, and errBodyContinues if it may not be. The guard may be nil.
func (b *body) read(buf []byte, guard *memory.ProgressGuard) (read []byte, err error) {
	defer b.conn.unlimit()
	n := 0
	for n < len(buf) && err == nil {
		part := buf[n:]
		if b.length == unknownLength {
			part = part[:min(len(part), maxReadBytes)]
			b.conn.limit(maxReadBytes + maxFramingBytes)
		}
		var more int
		// A read beyond the announced length would take bytes of the next request.
		more, err = memory.ReadFull(b.ctx.RequestBodyStream(), part, guard)
		n += more
	}
	switch {
	case errors.Is(err, io.EOF) && b.length == unknownLength:
		err = nil
	case err == nil:
		err = errBodyContinues
	}
	return buf[:n], err
}

// discard drops a body that is not needed. Of one with a length, the HTTP library reads the
// rest after the answer, and closes the connection if that fails.
func (b *body) discard() {
	switch {
	case b.complete || b.conn == nil:
	case b.length != unknownLength:
		timeout := discardTimeout
		if b.length > maxBodyBytes {
			timeout = longDiscardTimeout
		}
		_ = b.conn.SetReadDeadline(time.Now().Add(timeout))
	default:
		_ = b.conn.SetReadDeadline(time.Now().Add(longDiscardTimeout))
		err := errBodyContinues
		for buf, left := make([]byte, maxReadBytes), maxBodyBytes; err == errBodyContinues && left > 0; left -= len(buf) {
			_, err = b.read(buf, nil)
		}
		if err != nil {
			b.ctx.SetConnectionClose()
			b.interrupt()
		}
	}
}

// detectDisconnect makes the context of the request end if the caller disconnects. The HTTP
// library does so itself only for requests without a body. The returned function ends that.
func (b *body) detectDisconnect() (stop func()) {
	detector, ok := b.ctx.GetConn().(interface {
		DetectConnectionClose()
		AbortBlockingRead()
	})
	if !ok || !b.ctx.Request.IsBodyStream() {
		return func() {}
	}
	detector.DetectConnectionClose()
	return detector.AbortBlockingRead
}
