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
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

const headerRetryAfter = "Retry-After"

// errInterim means that the HTTP client has returned an interim response. It skips a
// single 100 only.
var errInterim = merry.Wrap(ErrIncomplete, merry.AppendMessage("interim response in place of the final one"))

// transport sends HTTP requests to one backend server.
type transport struct {
	client *client.Client
}

func newTransport(cfg Config) (*transport, error) {
	c, err := client.NewClient(
		client.WithDialer(newDialer()),
		client.WithDialTimeout(cfg.DialTimeout),
		client.WithMaxConnsPerHost(maxConnections),
		// Each exchange has a connection of its own. A faulty server may send an earlier
		// response once more on a kept connection, where it would be taken for the next
		// one: a refusal of a read would seem to prove that a request was not started.
		client.WithKeepAlive(false),
		client.WithResponseBodyStream(true),
		client.WithName("auburnbend"),
	)
	if err != nil {
		return nil, merry.Prepend(err, "HTTP client")
	}
	return &transport{client: c}, nil
}

// exchange is one HTTP request and its response. The response body is streamed,
// so the exchange must be closed.
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

// forceCloser is implemented by the body streams of the hertz client. ForceClose
// closes the connection and may be called from any goroutine.
type forceCloser interface {
	ForceClose() error
}

// do sends the request and waits for the response header. The HTTP client does
// not observe ctx while it waits, so the call runs in a goroutine of its own,
// whose lifetime is limited by the timeout.
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
	go func() { done <- t.client.Do(context.Background(), x.req, x.resp) }()
	select {
	case err := <-done:
		if err == nil && x.resp.StatusCode() < consts.StatusOK {
			x.close()
			err = errInterim
		}
		return classifyError(err)
	case <-ctx.Done():
		go x.discard(done)
		return mayHaveRun(ctx.Err())
	}
}

// doRequest is like do, and passes on what the response says about the rate limit.
func (t *transport) doRequest(ctx context.Context, x *exchange, cfg *Config) error {
	sent := time.Now()
	if err := t.do(ctx, x, cfg.RequestTimeout); err != nil {
		return err
	}
	cfg.OnRateLimit(ratelimit.Parse(x.resp.Header.GetAll(HeaderRateLimit)), time.Since(sent))
	return nil
}

// discard waits for the end of a canceled call and closes its connection.
func (x *exchange) discard(done <-chan error) {
	if err := <-done; err == nil {
		x.close()
	}
}

func classifyError(err error) error {
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

// close closes the connection of the response body. It may be called from any
// goroutine and more than once. It does not close the body through the response:
// that would return the body to a pool, and a late close could then hit another
// response.
func (x *exchange) close() {
	if f, ok := x.resp.BodyStream().(forceCloser); ok {
		_ = f.ForceClose()
	}
}

// body reads a response body of at most limit bytes.
func (x *exchange) body(ctx context.Context, limit int64) ([]byte, error) {
	if !x.resp.IsBodyStream() && x.resp.Header.ContentLength() >= -1 {
		return x.resp.Body(), nil
	}
	var data []byte
	err := x.copyBody(ctx, limit, func(part []byte) error {
		data = append(data, part...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// copyBody passes a response body of at most limit bytes in parts to emit, which must not keep
// them. It rejects a body that is delimited by the end of the connection, because truncation
// would go unnoticed. It returns the errors of emit unchanged.
func (x *exchange) copyBody(ctx context.Context, limit int64, emit func([]byte) error) error {
	if x.resp.Header.ContentLength() < -1 {
		return merry.Wrap(ErrIncomplete, merry.AppendMessage("response has neither Content-Length nor chunked encoding"))
	}
	if !x.resp.IsBodyStream() {
		if body := x.resp.Body(); len(body) > 0 {
			return emit(body)
		}
		return nil
	}
	stop := context.AfterFunc(ctx, x.close)
	source := &boundedBody{source: x.resp.BodyStream(), remaining: limit + 1}
	buf := make([]byte, maxReadBytes)
	for length := int64(0); ; {
		n, err := source.Read(buf)
		if length += int64(n); length > limit {
			stop()
			return merry.Wrap(ErrTooLarge, merry.AppendMessagef("limit is %d bytes", limit))
		}
		if n > 0 {
			if err := emit(buf[:n]); err != nil {
				stop()
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			stop()
			return wrapCause(ErrIncomplete, err)
		}
	}
	if stop() {
		// No other goroutine can close the body any more, so it can be returned
		// to its pool.
		_ = x.resp.CloseBodyStream()
	}
	return nil
}

// retryAfter returns the Retry-After header, or zero if it is missing or invalid.
func (x *exchange) retryAfter() time.Duration {
	n, err := strconv.Atoi(string(x.resp.Header.Peek(headerRetryAfter)))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
