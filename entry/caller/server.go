// Package caller serves callers over HTTP: it checks each request against the
// configuration in force, hands it to a Handler, and writes the answer as a
// stream of events or as one body. The outcome stands in a header or in the
// final event.
package caller

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hertzconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/google/uuid"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Handler runs a request and ends its answer exactly once. ctx ends when the
// caller goes away.
type Handler interface {
	Handle(ctx context.Context, r *Request, a ResponseWriter)
}

// InvalidCounter counts requests that were refused as invalid.
type InvalidCounter interface {
	CountInvalid(reason outcome.Reason)
}

// Config sets up a Server.
type Config struct {
	Listener net.Listener
	Clock    clock.Clock
	// Current returns the configuration in force, or nil before there is one.
	Current func() *config.Config
	Handler Handler
	Invalid InvalidCounter
	Log     *eventlog.Logger
}

const (
	// exitWait is far beyond any drain: the library would otherwise cut requests
	// off at a limit of its own; the context of Drain decides.
	exitWait = 24 * time.Hour
	// closeWait bounds the end of idle connections once no request runs.
	closeWait = time.Second
	// drainPoll is the time between two looks at running requests.
	drainPoll = 20 * time.Millisecond
)

// Server serves callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	hertz    *server.Hertz
	draining atomic.Bool
	// closing says that connections are to be closed after their request.
	closing atomic.Bool
	running atomic.Int64
}

// NewServer returns a server that serves when Run is called.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg}
	options := []hertzconfig.Option{
		server.WithListener(cfg.Listener),
		server.WithTransport(netpoll.NewTransporter),
		server.WithSenseClientDisconnection(true),
		// Bodies over the limit are read so far that the refusal can name it.
		server.WithMaxRequestBodySize(maxBodyBytes + 1<<20),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
	}
	s.hertz = server.New(options...)
	s.hertz.POST("/v1/services/:service", s.serve)
	s.hertz.GET("/ready", s.ready)
	return s
}

// Run serves until Drain or Close has ended.
func (s *Server) Run() error { return s.hertz.Run() }

// SetDraining makes the readiness check fail, so that the balancer stops
// sending; requests that still arrive are served.
func (s *Server) SetDraining() { s.draining.Store(true) }

// Drain waits until no request runs and then closes the connections. Requests
// that still arrive are served, each as the last one of its connection. It
// returns an error when ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	s.closing.Store(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.running.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.Close(closeWait)
	return nil
}

// Close ends the server; requests that run get at most the given time.
func (s *Server) Close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	// Idle connections may outlast the wait; they end with the process.
	_ = s.hertz.Shutdown(ctx)
}

func (s *Server) ready(_ context.Context, ctx *app.RequestContext) {
	switch {
	case s.draining.Load():
		ctx.String(http.StatusServiceUnavailable, "draining\n")
	case s.cfg.Current() == nil:
		ctx.String(http.StatusServiceUnavailable, "no configuration\n")
	default:
		ctx.String(http.StatusOK, "ready\n")
	}
}

func (s *Server) serve(c context.Context, ctx *app.RequestContext) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.closing.Load() {
		ctx.SetConnectionClose()
	}
	raw := readRaw(ctx)
	if raw.requestID == "" {
		raw.requestID = uuid.NewString()
	}
	answer := newAnswer(ctx, raw.requestID)
	current := s.cfg.Current()
	if current == nil {
		answer.End(Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoBackendServer, RetryAfter: time.Second, Detail: "no configuration is in force yet"})
		return
	}
	request, bad := parse(raw, current, s.cfg.Clock.Now())
	if bad != nil {
		s.cfg.Invalid.CountInvalid(bad.reason)
		s.cfg.Log.Log(eventlog.RequestInvalid, "request", raw.requestID, "reason", bad.reason, "detail", bad.detail)
		answer.End(Result{Outcome: outcome.NotRun, Reason: bad.reason, Detail: bad.detail})
		return
	}
	s.cfg.Handler.Handle(c, request, newAnswer(ctx, string(request.ID)))
}

// readRaw copies what it takes: hertz reuses its buffers after the handler
// returns, and an attempt may still be on its way to an agent then.
func readRaw(ctx *app.RequestContext) rawRequest {
	header := func(name string) string { return strings.Clone(string(ctx.GetHeader(name))) }
	body := ctx.Request.Body()
	return rawRequest{
		service:        strings.Clone(ctx.Param("service")),
		requestID:      header(HeaderRequestID),
		tenant:         header(HeaderTenant),
		class:          header(HeaderClass),
		deadlineMillis: header(HeaderDeadlineMillis),
		idempotencyKey: header(HeaderIdempotencyKey),
		claimProof:     header(HeaderClaimProof),
		contentType:    header("Content-Type"),
		body:           append([]byte(nil), body...),
	}
}

func newAnswer(ctx *app.RequestContext, request string) ResponseWriter {
	if strings.Contains(string(ctx.GetHeader("Accept")), "text/event-stream") {
		return newStreamAnswer(ctx, request)
	}
	return newBufferedAnswer(ctx, request)
}
