package engine

import (
	"context"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Headers of calls to plain services.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderRemaining      = "X-Remaining-Ms"
)

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	ID      model.RequestID
	Service model.Service
	// IdempotencyKey is sent where the caller gave one.
	IdempotencyKey  string
	ContentType     string
	RemainingMillis int64
	Body            []byte
}

// PlainResponse is the whole answer of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// PlainClient calls one plain service.
type PlainClient struct {
	cfg  Config
	http *transport
}

// NewPlainClient returns a client. It does not connect.
func NewPlainClient(cfg Config) (*PlainClient, error) {
	cfg.applyDefaults()
	t, err := newTransport(cfg)
	if err != nil {
		return nil, err
	}
	return &PlainClient{cfg: cfg, http: t}, nil
}

// Load reads the load report of the service. It returns ErrNoLoad if the service
// answers 404, because reports are optional, and otherwise ErrUnavailable.
func (c *PlainClient) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := c.http.read(ctx, c.cfg.Address+"/v1/load", c.cfg.ReadTimeout, &r)
	if err != nil && merry.HTTPCode(err) == consts.StatusNotFound {
		return LoadReport{}, merry.Wrap(ErrNoLoadReport, merry.WithCause(err))
	}
	return r, err
}

// Call posts a request and returns its answer, whatever the status. A status
// of 429 or 503 with a Retry-After header is a refusal before the request ran;
// without the header it is an answer, because a service may also use these
// statuses after it ran something.
func (c *PlainClient) Call(ctx context.Context, req PlainRequest) (PlainResponse, error) {
	x := newExchange(consts.MethodPost, c.cfg.Address+"/"+url.PathEscape(string(req.Service)))
	x.req.SetBodyRaw(req.Body)
	x.req.SetConnectionClose()
	x.req.Header.SetContentTypeBytes([]byte(req.ContentType))
	x.req.Header.Set(HeaderRequestID, string(req.ID))
	if req.IdempotencyKey != "" {
		x.req.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if req.RemainingMillis > 0 {
		x.req.Header.Set(HeaderRemaining, strconv.FormatInt(req.RemainingMillis, 10))
	}
	if err := c.http.do(ctx, x, c.cfg.RequestTimeout); err != nil {
		return PlainResponse{}, err
	}
	defer x.close()
	status := x.resp.StatusCode()
	if status == consts.StatusTooManyRequests || status == consts.StatusServiceUnavailable {
		if len(x.resp.Header.Peek(headerRetryAfter)) > 0 {
			return PlainResponse{}, notStarted(x.refused(ctx))
		}
	}
	body, err := x.body(ctx, c.cfg.MaxResponseBytes)
	if err != nil {
		return PlainResponse{}, mayHaveRun(err)
	}
	return PlainResponse{Status: status, ContentType: string(x.resp.Header.ContentType()), Body: body}, nil
}
