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

// notAppliedHeader marks an answer that proves that a write had no effect.
const notAppliedHeader = "X-Not-Applied"

// defaultRetryAfter is used when a throttling service names no time.
const defaultRetryAfter = time.Second

// caller sends calls to one service.
type caller struct {
	cfg    Config
	client *http.Client
}

func newCaller(cfg Config) caller {
	cfg.applyDefaults()
	return caller{cfg: cfg, client: &http.Client{Transport: cfg.Transport}}
}

// answer is what a service replied. A reply is complete: a broken body is an
// error of the call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// read sends a call without an effect.
func (c caller) read(ctx context.Context, path string) (answer, error) {
	a, _, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return answer{}, merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	if a.status == http.StatusNotFound {
		return a, merry.Wrap(backing.ErrNotFound)
	}
	if a.status != http.StatusOK {
		return a, statusError(backing.ErrUnavailable, a)
	}
	return a, nil
}

// write sends a call with an effect. An answer with status 2xx or 409 is
// returned; every other end is ErrNotApplied or ErrUnknown.
func (c caller) write(ctx context.Context, method, path string, body []byte) (answer, error) {
	a, connected, err := c.send(ctx, method, path, body)
	switch {
	case err != nil && !connected:
		return answer{}, merry.Wrap(backing.ErrNotApplied, merry.WithCause(err))
	case err != nil:
		return answer{}, merry.Wrap(backing.ErrUnknown, merry.WithCause(err))
	case a.status/100 == 2, a.status == http.StatusConflict:
		return a, nil
	case a.status/100 == 4, a.header.Get(notAppliedHeader) != "":
		return a, statusError(backing.ErrNotApplied, a)
	default:
		return a, statusError(backing.ErrUnknown, a)
	}
}

// send reports whether a connection was obtained: without one, nothing was sent.
func (c caller) send(ctx context.Context, method, path string, body []byte) (a answer, connected bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.URL+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, false, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{}, got.Load(), err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return answer{}, true, err
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: data}, true, nil
}

func statusError(kind error, a answer) error {
	if a.status == http.StatusTooManyRequests {
		kind = merry.Wrap(kind, merry.WithCause(throttled(a.header)))
	}
	return merry.Wrap(kind, merry.AppendMessagef("status %d", a.status))
}

func throttled(header http.Header) *backing.ThrottledError {
	seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 64)
	if err != nil || seconds < 0 {
		return &backing.ThrottledError{RetryAfter: defaultRetryAfter}
	}
	return &backing.ThrottledError{RetryAfter: time.Duration(seconds) * time.Second}
}

// decode reads the body of a read. A broken body is not an answer.
func (a answer) decode(v any) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return merry.Wrap(backing.ErrUnavailable, merry.WithCause(err))
	}
	return nil
}
