package httpbacking

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// notAppliedHeader is set on responses that prove that a write had no effect.
const notAppliedHeader = "X-Not-Applied"

// defaultRetryAfter is used if a throttling service sends no valid Retry-After.
const defaultRetryAfter = time.Second

// httpClient sends requests to one service.
type httpClient struct {
	cfg    Config
	client *http.Client
	// closes closes the connection after each call.
	closes bool
}

// newClosingClient returns a client that opens a connection for each call: a service may
// send an earlier response once more, and on a kept connection it would be taken for the
// next one.
func newClosingClient(cfg Config) httpClient {
	c := newHTTPClient(cfg)
	c.closes = true
	return c
}

func newHTTPClient(cfg Config) httpClient {
	cfg.applyDefaults()
	return httpClient{cfg: cfg, client: &http.Client{Transport: cfg.Transport}}
}

// response is a complete HTTP response. A truncated body is reported as an error of
// the request.
type response struct {
	status int
	header http.Header
	body   []byte
}

// read sends a request without side effects.
func (c httpClient) read(ctx context.Context, path string) (response, error) {
	r, _, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return response{}, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	if r.status == http.StatusNotFound {
		return r, merry.Wrap(backing.ErrNotFound)
	}
	if r.status != http.StatusOK {
		return r, statusError(backing.ErrUnavailable, r)
	}
	return r, nil
}

// write sends a request with side effects. It returns responses with status 2xx or
// 409; every other result is ErrNotApplied or ErrUnknown.
func (c httpClient) write(ctx context.Context, method, path string, body []byte) (response, error) {
	r, connected, err := c.send(ctx, method, path, body)
	switch {
	case err != nil && !connected:
		return response{}, merry.Wrap(backing.ErrNotApplied, merry.WithCause(err))
	case err != nil:
		return response{}, merry.Wrap(backing.ErrUnknown, merry.WithCause(err))
	case r.status/100 == 2, r.status == http.StatusConflict:
		return r, nil
	case r.status/100 == 4, r.header.Get(notAppliedHeader) != "":
		return r, statusError(backing.ErrNotApplied, r)
	default:
		return r, statusError(backing.ErrUnknown, r)
	}
}

// send sends one request. connected is false if no connection was established, so
// that nothing was sent.
func (c httpClient) send(ctx context.Context, method, path string, body []byte) (r response, connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, err
	}
	req.Close = c.closes
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, got.Load(), err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, true, err
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, true, nil
}

func statusError(kind error, r response) error {
	if r.status == http.StatusTooManyRequests {
		kind = merry.Wrap(kind, merry.WithCause(throttledError(r.header)))
	}
	return merry.Wrap(kind, merry.AppendMessagef("status %d", r.status))
}

func throttledError(header http.Header) *backing.ThrottledError {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 64)
	if err != nil || seconds < 0 {
		return &backing.ThrottledError{RetryAfter: defaultRetryAfter}
	}
	return &backing.ThrottledError{RetryAfter: time.Duration(seconds) * time.Second}
}

// decode parses the body of a read. An invalid body is reported as ErrUnavailable.
func (r response) decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	return nil
}
