package engine

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Client talks to one model engine.
type Client struct {
	cfg  Config
	http *transport
}

// NewClient returns a client. It does not connect.
func NewClient(cfg Config) (*Client, error) {
	cfg.applyDefaults()
	t, err := newTransport(cfg)
	if err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, http: t}, nil
}

// Generate starts a request and returns its answer once the engine has taken
// it on. NotStarted tells whether an error proves that it did not run.
func (c *Client) Generate(ctx context.Context, req Request) (*Stream, error) {
	req.Resume, req.Offset = false, 0
	s := newStream(req, c.cfg.StallTimeout)
	return s, c.open(ctx, s, req)
}

// Resume continues a stream at its offset over a new connection. The stream
// carries the weights that it started with; the engine refuses it under any
// others. A failed Resume says nothing about whether the request ran.
func (c *Client) Resume(ctx context.Context, s *Stream) error {
	s.Close()
	req := s.request
	req.Resume, req.Offset, req.Body = true, s.next, nil
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
	if err := c.http.do(ctx, x, c.cfg.RequestTimeout); err != nil {
		return err
	}
	if status := x.resp.StatusCode(); status != consts.StatusOK {
		defer x.close()
		refused := x.refused(ctx)
		if refusesBeforeStart(status) {
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

// Cancel ends a stream. An unknown stream is no error: it has ended already.
func (c *Client) Cancel(ctx context.Context, stream string) error {
	x, err := post(c.cfg.Address+"/v1/streams/"+url.PathEscape(stream)+"/cancel", struct{}{})
	if err != nil {
		return err
	}
	if err := c.http.do(ctx, x, c.cfg.ReadTimeout); err != nil {
		return err
	}
	defer x.close()
	status := x.resp.StatusCode()
	if status == consts.StatusOK || status == consts.StatusNotFound {
		return nil
	}
	return x.refused(ctx)
}

// State reads the engine's state, or returns ErrUnavailable.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	err := c.http.read(ctx, c.cfg.Address+"/v1/state", c.cfg.ReadTimeout, &s)
	return s, err
}

// Load reads the engine's load report, or returns ErrUnavailable.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	var r LoadReport
	err := c.http.read(ctx, c.cfg.Address+"/v1/load", c.cfg.ReadTimeout, &r)
	return r, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEventBatch, error) {
	var b CacheEventBatch
	err := c.http.read(ctx, c.cfg.Address+"/v1/cache-events?after="+strconv.FormatUint(after, 10), c.cfg.ReadTimeout, &b)
	return b, err
}

// Cache reads all cached prefixes.
func (c *Client) Cache(ctx context.Context) (CacheSnapshot, error) {
	var s CacheSnapshot
	err := c.http.read(ctx, c.cfg.Address+"/v1/cache", c.cfg.ReadTimeout, &s)
	return s, err
}

// Order gives one order and waits until it has finished. It sends whatever it
// is given: Guard decides when an order may be sent. An error that is not
// NotStarted leaves the outcome unknown.
func (c *Client) Order(ctx context.Context, o Order) (Reply, error) {
	x, err := post(c.cfg.Address+"/v1/orders", o)
	if err != nil {
		return Reply{}, err
	}
	if err := c.http.do(ctx, x, c.cfg.OrderTimeout); err != nil {
		return Reply{}, err
	}
	defer x.close()
	if status := x.resp.StatusCode(); status != consts.StatusOK {
		refused := x.refused(ctx)
		if refusesBeforeStart(status) {
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
		return Reply{}, mayHaveRun(because(ErrIncomplete, err))
	}
	return r, nil
}
