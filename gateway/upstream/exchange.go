// Package upstream sends one request to one backend server and reads its
// answer. Each exchange has a connection of its own: it costs a round trip
// within the deployment, and in return no request can meet a connection that
// the server is closing, and no answer can meet the wrong request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/lib/sockopt"
)

const (
	// dialTimeout covers the round trip between regions, and the 135 ms for which
	// pieces of weights may fill a narrow link. A server that does not accept
	// connections by then is taken as unreachable, and another one may still answer
	// in time.
	dialTimeout = 250 * time.Millisecond
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 2 << 10
	// inlineBody is the size in bytes up to which a body is written before the
	// answer is read. It fits into the buffers of the operating system.
	inlineBody = 16 << 10
	// headLimit bounds the head of an answer in bytes, interim answers included. A
	// server in trouble may send bytes without an end.
	headLimit = 64 << 10
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 4
)

// Request is what is sent to a backend server.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// Exchange is one request on its way and its answer. It belongs to one goroutine.
type Exchange struct {
	conn   net.Conn
	bounds *boundedReader
	reader *bufio.Reader
	stop   func() bool
}

// UnreachableError means that no connection was opened: the request cannot have
// been run.
type UnreachableError struct{ Cause error }

// Error implements error.
func (e *UnreachableError) Error() string { return "backend server is unreachable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Dial connects to a backend server. The connection is closed when ctx ends.
func Dial(ctx context.Context, address string) (*Exchange, error) {
	conn, err := sockopt.Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &UnreachableError{Cause: err}
	}
	bounds := &boundedReader{source: conn, left: headLimit}
	x := &Exchange{conn: conn, bounds: bounds, reader: bufio.NewReaderSize(bounds, readBuffer)}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return x, nil
}

// Do sends the request and reads the head of its answer. After any error the
// request may have been run.
func (x *Exchange) Do(r *Request) (*http.Response, error) {
	if len(r.Body) > inlineBody {
		// The answer may come before the body is read.
		go func() { _, _ = x.conn.Write(r.encode()) }()
	} else if _, err := x.conn.Write(r.encode()); err != nil {
		return nil, err
	}
	req := &http.Request{Method: r.Method}
	for range maxInterim {
		resp, err := http.ReadResponse(x.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			x.bounds.unbounded = true
			return resp, nil
		}
	}
	return nil, errInterim
}

// SetReadDeadline bounds the wait for the next bytes; zero sets no bound.
func (x *Exchange) SetReadDeadline(t time.Time) { _ = x.conn.SetReadDeadline(t) }

// Close ends the exchange. A server that is still at work learns of it.
func (x *Exchange) Close() {
	x.stop()
	_ = x.conn.Close()
}
