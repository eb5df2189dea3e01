// Package caller serves callers over HTTP: it validates each request against
// the configuration in force, passes it to a Handler, and sends the response as
// server-sent events or as a single body. The outcome is in a header or in the
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
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/google/uuid"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Handler runs a request and calls End exactly once. ctx ends when the caller
// disconnects. Implementations must be safe for concurrent use.
type Handler interface {
	Handle(ctx context.Context, r *Request, w ResponseWriter)
}

// InvalidCounter counts requests that were refused as invalid. Implementations
// must be safe for concurrent use.
type InvalidCounter interface {
	CountInvalid(reason outcome.Reason)
}

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Clock    clock.Clock
	// Current returns the configuration in force, or nil if there is none yet.
	Current func() *config.Config
	Handler Handler
	Invalid InvalidCounter
	Log     *eventlog.Logger
	// MaxBodyBytes limits the memory of the long bodies of all requests together, in bytes.
	// Zero means 64 MiB.
	MaxBodyBytes int64
	// MaxResponseBytes limits the memory of the long responses that are not streamed, in
	// bytes. Zero means 32 MiB.
	MaxResponseBytes int64
}

const (
	// defaultMaxHeldBodies is the default of Config.MaxBodyBytes.
	defaultMaxHeldBodies = 64 << 20
	// defaultMaxHeldResponses is the default of Config.MaxResponseBytes.
	defaultMaxHeldResponses = 32 << 20
	// otherTenantsShare is the part of MaxBodyBytes that the bodies of one tenant leave to
	// others: an eighth.
	otherTenantsShare = 8
	// headTimeout limits receiving the head of a request.
	headTimeout = 30 * time.Second
	// headsShare determines the memory of long heads of requests: a fifth of that of bodies.
	headsShare = 5
	// maxHeadBytes limits the head of a request.
	maxHeadBytes = 64 << 10
	// hertzExitTimeout is longer than any drain. The library would otherwise
	// abort requests after its own limit; the context of Drain decides instead.
	hertzExitTimeout = 24 * time.Hour
	// closeTimeout limits the closing of idle connections after the last request.
	closeTimeout = time.Second
	// responseWriteTime limits the time for which a caller may leave a response unread, and
	// with it the memory of the response, beyond the deadline of its request.
	responseWriteTime = 30 * time.Second
	// drainPollInterval is the time between two checks for running requests.
	drainPollInterval = 20 * time.Millisecond
)

// Server is the HTTP server for callers. It is safe for concurrent use.
type Server struct {
	cfg      Config
	hertz    *server.Hertz
	draining atomic.Bool
	drain    *drain
	// closeConnections makes each connection close after its current request.
	closeConnections atomic.Bool
	running          atomic.Int64
	// bodies bounds the memory of long bodies; its holders are tenants.
	bodies *memory.Budget
	// responses bounds the memory of long responses.
	responses *responseBudget
	// heads bounds the memory of long heads of requests.
	heads *memory.Budget
}

// NewServer returns a Server. Run starts it.
func NewServer(cfg Config) *Server {
	if cfg.MaxBodyBytes <= 0 {
		cfg.MaxBodyBytes = defaultMaxHeldBodies
	}
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = defaultMaxHeldResponses
	}
	s := &Server{
		cfg: cfg, drain: newDrain(), responses: newResponseBudget(cfg.MaxResponseBytes),
		bodies: memory.NewBudget(cfg.MaxBodyBytes, cfg.MaxBodyBytes-cfg.MaxBodyBytes/otherTenantsShare),
		heads:  memory.NewBudget(cfg.MaxBodyBytes/headsShare, cfg.MaxBodyBytes/headsShare),
	}
	options := []hertzconfig.Option{
		server.WithListener(listener{cfg.Listener, s.heads}),
		server.WithReadTimeout(headTimeout),
		// The netpoll transport reads whatever callers send into memory before anybody asks
		// for it.
		server.WithTransport(standard.NewTransporter),
		server.WithOnAccept(contextOf),
		server.WithSenseClientDisconnection(true),
		// The handler reads bodies once there is room for them. The library would otherwise
		// read each before it calls the handler, and forms even then.
		server.WithStreamBody(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithMaxHeaderBytes(maxHeadBytes),
		server.WithExitWaitTime(hertzExitTimeout),
		server.WithDisablePrintRoute(true),
	}
	s.hertz = server.New(options...)
	s.hertz.Use(observeRequest)
	s.hertz.NoRoute(func(_ context.Context, ctx *app.RequestContext) { limitWrites(ctx, responseWriteTime) })
	s.hertz.POST("/v1/services/:service", s.serve)
	s.hertz.GET("/ready", s.ready)
	return s
}

// Run serves requests until Drain or Close has completed.
func (s *Server) Run() error { return s.hertz.Run() }

// SetDraining makes the readiness check fail, so that the load balancer stops
// sending requests. Requests that still arrive are served, each as the last one on its
// connection.
func (s *Server) SetDraining() {
	s.draining.Store(true)
	s.closeConnections.Store(true)
}

// Drain waits until no request is running and then closes the connections. Of the
// requests that still arrive, it accepts those that must not be repeated and are sure to
// end in time, each as the last one on its connection. Requests that are running shortly
// before the deadline of ctx get a final response. If ctx ends first, they get it then,
// and Drain returns the error of ctx.
func (s *Server) Drain(ctx context.Context) error {
	s.closeConnections.Store(true)
	responsesDue := s.drain.begin(ctx, s.cfg.Clock.Now())
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		for s.running.Load() > 0 {
			select {
			case <-ticker.C:
			case <-responsesDue:
				s.drain.end(ErrDrainEnded)
			case <-ctx.Done():
				s.abort()
				return ctx.Err()
			}
		}
		// A request may have arrived since. None is accepted in the second round.
		if s.drain.closing.Swap(true) {
			break
		}
	}
	s.Close(closeTimeout)
	return nil
}

// abort makes running requests get their final responses, and waits a moment for them.
func (s *Server) abort() {
	s.drain.closing.Store(true)
	s.drain.end(ErrDrainEnded)
	for end := time.Now().Add(abortTime); s.running.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
}

// Close stops the server. Running requests have at most timeout to complete.
func (s *Server) Close(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// Idle connections may outlast the timeout; they end with the process.
	_ = s.hertz.Shutdown(ctx)
}

// observeRequest tells the connection that the head of a request has been parsed, and when the
// handler has ended.
func observeRequest(c context.Context, ctx *app.RequestContext) {
	if conn, ok := c.Value(connKey{}).(*conn); ok {
		conn.beginHandler()
		defer conn.endHandler()
	}
	ctx.Next(c)
}

// limitWrites limits the time in which the response must have been sent.
func limitWrites(ctx *app.RequestContext, d time.Duration) {
	_ = ctx.GetConn().SetWriteDeadline(time.Now().Add(d))
}

func (s *Server) ready(_ context.Context, ctx *app.RequestContext) {
	limitWrites(ctx, responseWriteTime)
	switch {
	case s.draining.Load():
		ctx.String(http.StatusServiceUnavailable, "draining\n")
	case s.cfg.Current() == nil:
		ctx.String(http.StatusServiceUnavailable, "no configuration\n")
	default:
		ctx.String(http.StatusOK, "ready\n")
	}
}

func (s *Server) closeIfDraining(ctx *app.RequestContext) {
	if s.closeConnections.Load() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) serve(c context.Context, ctx *app.RequestContext) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.closeIfDraining(ctx)
	// The drain may begin while the request is running.
	defer s.closeIfDraining(ctx)
	body := newBody(c, ctx)
	// A process that stops may end as soon as it has answered.
	defer func() { body.discard(s.drain.ended, s.closeConnections.Load()) }()
	raw := readRaw(ctx)
	raw.bodyLength = body.length
	if raw.requestID == "" {
		raw.requestID = uuid.NewString()
	}
	c, release := s.drain.follow(c)
	defer release()
	room := &responseRoom{ctx: c, budget: s.responses, service: raw.service}
	response := newResponseWriter(ctx, raw.requestID, room)
	refuse := func(result Result) {
		limitWrites(ctx, responseWriteTime)
		response.End(result)
	}
	current := s.cfg.Current()
	if current == nil {
		refuse(Result{Outcome: outcome.NotRun, Reason: outcome.ReasonNoBackendServer, RetryAfter: time.Second, Detail: "no configuration is in force yet"})
		return
	}
	request, refused := parse(raw, current, s.cfg.Clock.Now())
	if refused != nil {
		s.cfg.Invalid.CountInvalid(refused.reason)
		s.cfg.Log.Log(eventlog.RequestInvalid, "request", raw.requestID, "reason", refused.reason, "detail", refused.detail)
		refuse(Result{Outcome: outcome.NotRun, Reason: refused.reason, Detail: refused.detail})
		return
	}
	if s.drain.refuses(request) {
		s.cfg.Log.Log(eventlog.RequestNotRun, "request", raw.requestID, "service", request.Service.Name, "tenant", request.Tenant.Name, "reason", outcome.ReasonDraining)
		refuse(Result{Outcome: outcome.NotRun, Reason: outcome.ReasonDraining, RetryAfter: drainingRetryAfter, Detail: "this entry is stopping"})
		return
	}
	if request.Service.Kind == config.KindPlain && acceptsStream(ctx) {
		response = newHeldStreamResponse(ctx, string(request.ID), room)
	}
	left := request.Deadline.Sub(s.cfg.Clock.Now())
	limitWrites(ctx, left+responseWriteTime)
	room.until = time.Now().Add(left)
	err := s.receive(c, request, body)
	defer request.Room.Release()
	if err != nil {
		result := s.notReceived(request, body, err)
		s.cfg.Log.Log(eventlog.RequestNotRun, "request", raw.requestID, "service", request.Service.Name, "tenant", request.Tenant.Name, "reason", result.Reason)
		response.End(result)
		return
	}
	if body.conn != nil && !body.conn.slot.Keep() {
		// The connection was closed in favour of another one. The request must not run.
		return
	}
	defer body.detectDisconnect()()
	s.handle(c, request, response)
}

// readRaw copies all values: hertz reuses its buffers after the handler
// returns, while an attempt may still be in transit to an agent.
func readRaw(ctx *app.RequestContext) rawRequest {
	header := func(name string) string { return strings.Clone(string(ctx.GetHeader(name))) }
	return rawRequest{
		service:        strings.Clone(ctx.Param("service")),
		requestID:      header(HeaderRequestID),
		tenant:         header(HeaderTenant),
		class:          header(HeaderClass),
		deadlineMillis: header(HeaderDeadlineMillis),
		idempotencyKey: header(HeaderIdempotencyKey),
		claimProof:     header(HeaderClaimProof),
		contentType:    header("Content-Type"),
	}
}

func newResponseWriter(ctx *app.RequestContext, request string, room *responseRoom) ResponseWriter {
	if acceptsStream(ctx) {
		return newStreamResponse(ctx, request)
	}
	return newBufferedResponse(ctx, request, room)
}

// acceptsStream reports whether the caller gets events as they are made. A caller with
// HTTP/1.0 does not, because a stream is sent in chunks.
func acceptsStream(ctx *app.RequestContext) bool {
	return ctx.Request.Header.IsHTTP11() && strings.Contains(string(ctx.GetHeader("Accept")), "text/event-stream")
}
