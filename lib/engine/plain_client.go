package engine

import (
	"context"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/auburnbend/auburnbend/lib/model"
)

// HeaderRateLimit is a response header of engines and plain services: the requests
// per second, a decimal number, that the server accepts from all callers together.
// A response without it means that there is no limit.
const HeaderRateLimit = "X-Rate-Limit"

// Request headers of plain service calls.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderRemaining      = "X-Remaining-Ms"
)

// PlainRequest is one call to a plain service.
type PlainRequest struct {
	ID      model.RequestID
	Service model.Service
	// IdempotencyKey is optional.
	IdempotencyKey string
	ContentType    string
	// RemainingMillis is the time until the deadline in milliseconds. It is sent
	// only if it is positive.
	RemainingMillis int64
	Body            []byte
}

// PlainResponse is the complete response of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainClient is the HTTP client of one plain service. It is safe for concurrent
// use.
type PlainClient struct {
	cfg       Config
	transport *transport
}

// NewPlainClient returns a client without connecting to the service.
func NewPlainClient(cfg Config) (*PlainClient, error) {
	cfg.applyDefaults()
	t, err := newTransport(cfg)
	if err != nil {
		return nil, err
	}
	return &PlainClient{cfg: cfg, transport: t}, nil
}

// Load returns the load report of the service. Load reports are optional: if the
// service responds with 404, Load returns ErrNoLoadReport. On any other failure it
// returns ErrUnavailable.
func (c *PlainClient) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := c.transport.read(ctx, c.cfg.Address+"/v1/load", c.cfg.ReadTimeout, &r)
	if err != nil && merry.HTTPCode(err) == consts.StatusNotFound {
		return LoadReport{}, merry.Wrap(ErrNoLoadReport, merry.WithCause(err))
	}
	return r, err
}

// Call is Stream that returns the body with the response.
func (c *PlainClient) Call(ctx context.Context, req PlainRequest) (PlainResponse, error) {
	var body []byte
	response, err := c.Stream(ctx, req, func(part []byte) error {
		body = append(body, part...)
		return nil
	})
	response.Body = body
	if err != nil {
		return PlainResponse{}, err
	}
	return response, nil
}

// Stream posts a request, passes the body of the response in parts to emit, which must not
// keep them, and returns the response without it, whatever its status. If it returns an
// error, emit may have got a part of the body. Errors of emit are returned unchanged. The one
// exception is status 429 or 503 with a Retry-After header, which means that the
// service rejected the request without running it. Without the header it is
// returned as a response, because a service may also use these statuses after it
// has run the request.
func (c *PlainClient) Stream(ctx context.Context, req PlainRequest, emit func([]byte) error) (PlainResponse, error) {
	x := newExchange(consts.MethodPost, c.cfg.Address+"/"+url.PathEscape(string(req.Service)))
	x.req.SetBodyRaw(req.Body)
	x.req.Header.SetContentTypeBytes([]byte(req.ContentType))
	x.req.Header.Set(HeaderRequestID, string(req.ID))
	if req.IdempotencyKey != "" {
		x.req.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if req.RemainingMillis > 0 {
		x.req.Header.Set(HeaderRemaining, strconv.FormatInt(req.RemainingMillis, 10))
	}
	if err := c.transport.doRequest(ctx, x, &c.cfg); err != nil {
		return PlainResponse{}, err
	}
	defer x.close()
	status := x.resp.StatusCode()
	if status == consts.StatusTooManyRequests || status == consts.StatusServiceUnavailable {
		if len(x.resp.Header.Peek(headerRetryAfter)) > 0 {
			return PlainResponse{}, notStarted(x.refusal(ctx))
		}
	}
	var emitErr error
	err := x.copyBody(ctx, c.cfg.MaxResponseBytes, func(part []byte) error {
		emitErr = emit(part)
		return emitErr
	})
	switch {
	case emitErr != nil:
		return PlainResponse{}, emitErr
	case err != nil:
		return PlainResponse{}, mayHaveRun(err)
	}
	return PlainResponse{Status: status, ContentType: string(x.resp.Header.ContentType())}, nil
}
