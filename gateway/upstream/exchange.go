// Package upstream sends one request to one backend server and reads its response.
// Each exchange has its own connection. This costs a round trip within the
// deployment, but no request can be sent on a connection that the server is closing,
// and no response can be taken for that of another request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/sockopt"
)

const (
	// dialTimeout covers a round trip between regions, plus the 135 ms for which
	// transfers of weights may fill a narrow link. A server that has not accepted the
	// connection by then counts as unreachable, early enough for another one to respond
	// in time.
	dialTimeout = 250 * time.Millisecond
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2 << 10
	// maxInlineBody is the size in bytes up to which a body is written before the
	// response is read. It fits into the socket buffers of the operating system.
	maxInlineBody = 16 << 10
	// maxHeadBytes bounds the head of a response, including interim responses. A faulty
	// server may send an endless one.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head, as short lines take many times their bytes in
	// memory. The read buffer may contain lines of the body as well.
	maxHeadLines = 256 + readBufferBytes
	// maxInterimResponses bounds the 1xx responses before the final one.
	maxInterimResponses = 4
)

// Request is a request to a backend server.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// BodySent is called once Body is no longer read, which may be after the response; nil if
	// that makes no difference.
	BodySent func()
}

// Exchange is one request and its response on one connection. It is not safe for
// concurrent use, except for Cancel, Close and SetReadDeadline.
type Exchange struct {
	conn    net.Conn
	prober  *sockopt.Prober
	limiter *boundedReader
	reader  *bufio.Reader
	upload  *upload
	// stopCancel ends the effect of the context. It returns false if the context has ended.
	stopCancel func() bool

	mu sync.Mutex
	// bodyBytes is the length of the body of the request. Only Do changes it.
	bodyBytes int
	// completed is set by Complete, cancelled by a Cancel before it, and cut as well if the server
	// did not have the whole request then.
	completed, cancelled, cut bool
}

// UnreachableError means that no connection was opened, so the request cannot have
// run.
type UnreachableError struct{ Cause error }

// Error implements error.
func (e *UnreachableError) Error() string { return "backend server is unreachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Dial connects to a backend server at an IP address and port. The exchange is cancelled
// when ctx ends. Errors are of type *UnreachableError.
func Dial(ctx context.Context, address string) (*Exchange, error) {
	conn, err := sockopt.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	x := newExchange(conn)
	x.stopCancel = context.AfterFunc(ctx, x.Cancel)
	return x, nil
}

func newExchange(conn net.Conn) *Exchange {
	sending := newUpload()
	limiter := &boundedReader{source: &connReader{conn: conn, upload: sending}, remaining: maxHeadBytes, remainingLines: maxHeadLines}
	return &Exchange{
		conn: conn, prober: sockopt.NewProber(conn), limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), upload: sending,
		stopCancel: func() bool { return true },
	}
}

// Do sends the request and reads the head of the response. After any error, the
// request may have run.
func (x *Exchange) Do(r *Request) (*http.Response, error) {
	head := r.encodeHead()
	x.setBodyBytes(len(r.Body))
	if len(r.Body) > maxInlineBody {
		go x.send(head, r.Body, r.BodySent)
	} else if x.send(append(head, r.Body...), nil, r.BodySent); x.upload.err != nil {
		return nil, x.upload.err
	}
	req := &http.Request{Method: r.Method}
	for range maxInterimResponses {
		line, err := x.reader.Peek(statusLineBytes)
		interim := false
		if err == nil {
			if interim, err = checkStatus(line); err != nil {
				return nil, err
			}
		}
		// After a shorter line, this returns the error of the connection.
		resp, err := x.readResponse(line, req)
		if err != nil {
			return nil, err
		}
		if !interim {
			x.limiter.unbounded = true
			if isUnmarked(resp) {
				resp.Body = &unmarkedBody{ReadCloser: resp.Body, exchange: x}
			}
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// SetReadDeadline sets the deadline of pending and future reads; the zero time sets
// none.
func (x *Exchange) SetReadDeadline(t time.Time) { _ = x.conn.SetReadDeadline(t) }

func (x *Exchange) setBodyBytes(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.bodyBytes = n
}

func (x *Exchange) send(head, body []byte, sent func()) {
	x.upload.run(x.conn, head, body)
	x.prober.EndWrites()
	if sent != nil {
		sent()
	}
}
