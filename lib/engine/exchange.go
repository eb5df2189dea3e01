package engine

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
)

// headerRetryAfter holds the seconds after which to try again.
const headerRetryAfter = "Retry-After"

// transport sends requests to one backend server.
type transport struct {
	http *client.Client
}

func newTransport(cfg Config) (*transport, error) {
	c, err := client.NewClient(
		client.WithDialer(newDialer()),
		client.WithDialTimeout(cfg.DialTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		client.WithResponseBodyStream(true),
		client.WithName("auburnbend"),
	)
	if err != nil {
		return nil, merry.Prepend(err, "HTTP client")
	}
	return &transport{http: c}, nil
}

// exchange is one request and its response. The body is read as a stream and
// must be closed.
type exchange struct {
	req  *protocol.Request
	resp *protocol.Response
}

func newExchange(method, uri string) *exchange {
	x := &exchange{req: &protocol.Request{}, resp: &protocol.Response{}}
	x.req.SetMethod(method)
	x.req.SetRequestURI(uri)
	return x
}

// forceCloser ends a body stream from another goroutine by closing the
// connection; the streams of hertz's client implement it.
type forceCloser interface {
	ForceClose() error
}

// do sends the request and waits for the response header. The HTTP client does
// not watch ctx while it waits, so a goroutine waits for it; the timeout bounds
// the life of that goroutine.
func (t *transport) do(ctx context.Context, x *exchange, timeout time.Duration) error {
	if err := ctx.Err(); err != nil {
		return notStarted(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return notStarted(context.DeadlineExceeded)
	}
	x.req.SetOptions(config.WithRequestTimeout(timeout))
	done := make(chan error, 1)
	go func() { done <- t.http.Do(context.Background(), x.req, x.resp) }()
	select {
	case err := <-done:
		return classify(err)
	case <-ctx.Done():
		go x.discard(done)
		return mayHaveRun(ctx.Err())
	}
}

// discard waits for an abandoned exchange and closes its connection.
func (x *exchange) discard(done <-chan error) {
	if err := <-done; err == nil {
		x.close()
	}
}

func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNotStarted):
		return err
	case errors.Is(err, herrors.ErrNoFreeConns):
		return notStarted(err)
	default:
		return mayHaveRun(err)
	}
}

// close closes the connection under the body. It may be called from any
// goroutine and more than once. The body is never closed through the response:
// that returns it to a pool, where a late close would hit another response.
func (x *exchange) close() {
	if f, ok := x.resp.BodyStream().(forceCloser); ok {
		_ = f.ForceClose()
	}
}

// body reads the whole body up to limit bytes. A body that ends with the
// connection is refused: it could be cut off unnoticed.
func (x *exchange) body(ctx context.Context, limit int64) ([]byte, error) {
	if x.resp.Header.ContentLength() < -1 {
		return nil, merry.Wrap(ErrIncomplete, merry.AppendMessage("body has neither a length nor chunks"))
	}
	if !x.resp.IsBodyStream() {
		return x.resp.Body(), nil
	}
	stop := context.AfterFunc(ctx, x.close)
	data, err := io.ReadAll(io.LimitReader(x.resp.BodyStream(), limit+1))
	if stop() && err == nil && int64(len(data)) <= limit {
		// Nobody else can close the body now, so it may go back to its pool and
		// the connection of a read serves the next one.
		_ = x.resp.CloseBodyStream()
	}
	if err != nil {
		return nil, because(ErrIncomplete, err)
	}
	if int64(len(data)) > limit {
		return nil, merry.Wrap(ErrTooLarge, merry.AppendMessagef("allowed are %d bytes", limit))
	}
	return data, nil
}

// retryAfter reads the header in seconds.
func (x *exchange) retryAfter() time.Duration {
	n, err := strconv.Atoi(string(x.resp.Header.Peek(headerRetryAfter)))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
