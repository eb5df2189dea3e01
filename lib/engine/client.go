package engine

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Client is the HTTP client of one model engine. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *transport
}

// NewClient returns a client without connecting to the engine.
func NewClient(cfg Config) (*Client, error) {
	cfg.applyDefaults()
	t, err := newTransport(cfg)
	if err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, transport: t}, nil
}

// Generate starts a request and returns the response stream once the engine has
// accepted the request. Use NotStarted to find out whether an error proves that
// the request did not run.
func (c *Client) Generate(ctx context.Context, req Request) (*Stream, error) {
	req.Resume, req.Offset = false, 0
	s := newStream(req, c.cfg.StallTimeout, c.cfg.Events)
	return s, c.open(ctx, s, req)
}

// Resume continues a stream at its current offset over a new connection. The
// engine rejects it if its weights differ from those that the stream started
// with. An error of Resume never satisfies NotStarted, because the request was
// already started by Generate.
func (c *Client) Resume(ctx context.Context, s *Stream) error {
	s.Close()
	req := s.request
	req.Resume, req.Offset, req.Body = true, s.nextOffset, nil
	err := c.open(ctx, s, req)
	if NotStarted(err) {
		return mayHaveRun(err)
	}
	return err
}

func (c *Client) open(ctx context.Context, s *Stream, req Request) error {
	s.request.Resume = req.Resume
	x, err := post(c.cfg.Address+"/v1/generate", req)
	if err != nil {
		return err
	}
	if err := c.transport.doRequest(ctx, x, &c.cfg); err != nil {
		return err
	}
	if status := x.resp.StatusCode(); status != consts.StatusOK {
		defer x.close()
		refused := x.refusal(ctx)
		if provesNotStarted(status) {
			return notStarted(refused)
		}
		return mayHaveRun(refused)
	}
	if err := s.attach(ctx, x); err != nil {
		s.Close()
		return err
	}
	return nil
}

// Cancel ends a stream. An unknown stream is not an error, because it has
// already ended.
func (c *Client) Cancel(ctx context.Context, stream string) error {
	x, err := post(c.cfg.Address+"/v1/streams/"+url.PathEscape(stream)+"/cancel", struct{}{})
	if err != nil {
		return err
	}
	if err := c.transport.do(ctx, x, c.cfg.ReadTimeout); err != nil {
		return err
	}
	defer x.close()
	status := x.resp.StatusCode()
	if status == consts.StatusOK || status == consts.StatusNotFound {
		return nil
	}
	return x.refusal(ctx)
}

// State returns the engine's state. On failure it returns ErrUnavailable.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.transport.read(ctx, c.cfg.Address+"/v1/state", c.cfg.ReadTimeout, &s)
	return s, err
}

// Load returns the engine's load report. On failure it returns ErrUnavailable.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := c.transport.read(ctx, c.cfg.Address+"/v1/load", c.cfg.ReadTimeout, &r)
	return r, err
}

// CacheEvents returns the cache events after a sequence number. On failure it
// returns ErrUnavailable.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEventBatch, error) {
	var b CacheEventBatch
	err := c.transport.read(ctx, c.cfg.Address+"/v1/cache-events?after="+strconv.FormatUint(after, 10), c.cfg.ReadTimeout, &b)
	return b, err
}

// Cache returns a snapshot of all cached prefixes. On failure it returns
// ErrUnavailable.
func (c *Client) Cache(ctx context.Context) (CacheSnapshot, error) {
	var s CacheSnapshot
	err := c.transport.read(ctx, c.cfg.Address+"/v1/cache", c.cfg.ReadTimeout, &s)
	return s, err
}

// Order sends one order and waits until it has finished. It does not check
// whether the order may be sent; that is the task of Guard. Unless NotStarted
// reports true for the error, the outcome of a failed order is unknown.
func (c *Client) Order(ctx context.Context, o Order) (Reply, error) {
	x, err := post(c.cfg.Address+"/v1/orders", o)
	if err != nil {
		return Reply{}, err
	}
	if err := c.transport.do(ctx, x, c.cfg.OrderTimeout); err != nil {
		return Reply{}, err
	}
	defer x.close()
	if status := x.resp.StatusCode(); status != consts.StatusOK {
		refused := x.refusal(ctx)
		if provesNotStarted(status) {
			return Reply{}, notStarted(refused)
		}
		return Reply{}, mayHaveRun(refused)
	}
	var r Reply
	data, err := x.body(ctx, c.cfg.MaxResponseBytes)
	if err != nil {
		return Reply{}, mayHaveRun(err)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Reply{}, mayHaveRun(wrapCause(ErrIncomplete, err))
	}
	return r, nil
}
