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
	// prefetchedBytes is the part of a body that the HTTP library reads before it calls the
	// handler.
	prefetchedBytes = 8 << 10
	// discardTimeout limits the time for which the rest of a refused body is read and dropped.
	// It is shorter for a body beyond maxBodyBytes, which may not end.
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
	// received is the number of bytes that have been read.
	received int64
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
	b.received += int64(n)
	switch {
	case errors.Is(err, io.EOF) && b.length == unknownLength:
		err = nil
	case err == nil:
		err = errBodyContinues
	}
	return buf[:n], err
}

// discard drops a body that is not needed, so that a caller that reads its answer last gets
// it. Of one with a length, the HTTP library reads the rest after the answer, and closes the
// connection if that fails; of others, and if early is true, it is dropped before the answer,
// until ctx ends.
func (b *body) discard(ctx context.Context, early bool) {
	if b.complete || b.conn == nil {
		return
	}
	timeout := discardTimeout
	if b.length > maxBodyBytes {
		timeout = longDiscardTimeout
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(timeout))
	if b.length != unknownLength && !early {
		return
	}
	stop := context.AfterFunc(ctx, b.interrupt)
	defer stop()
	err := errBodyContinues
	for buf, left := make([]byte, maxReadBytes), maxBodyBytes+1<<20; err == errBodyContinues && left > 0; left -= len(buf) {
		if b.length != unknownLength {
			if b.received == b.length {
				return
			}
			buf = buf[:min(int64(len(buf)), b.length-b.received)]
		}
		_, err = b.read(buf, nil)
	}
	if err != nil {
		b.ctx.SetConnectionClose()
		b.interrupt()
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
