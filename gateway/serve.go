package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/serving"
)

const (
	// notConfiguredAfter is when callers may come back to an entry that has no
	// configuration yet; others of its domain may have one.
	notConfiguredAfter = 500 * time.Millisecond
	// defaultBodyLimit bounds a request's body in bytes where the configuration
	// sets no limit.
	defaultBodyLimit = 4 << 20
	// answerLimit bounds a whole answer in bytes.
	answerLimit = 4 << 20
	// defaultLimit ends requests for which neither the caller nor the route sets a
	// limit, while nothing goes on.
	defaultLimit = 30 * time.Second
)

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	r := &request{gateway: g, writer: w, http: hr, ctx: hr.Context(), arrived: g.now()}
	r.stream.last = -1
	defer r.finish()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if !r.accept() {
		return
	}
	if !r.deadline.IsZero() {
		ctx, cancel := context.WithTimeout(r.ctx, r.left(r.arrived))
		defer cancel()
		r.ctx = ctx
	}
	r.run()
}

// accept checks a request against the configuration and reads its body. It
// answers requests that it does not accept.
func (r *request) accept() bool {
	g := r.gateway
	call, err := g.config.Dialect.ParseRequest(r.http.Header)
	r.call = call
	r.seen.ID = call.ID
	if err != nil {
		r.refuse(http.StatusBadRequest, outcomeInvalid, "malformed header", 0)
		return false
	}
	r.table = g.table.Load()
	if r.table == nil {
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, "no configuration", notConfiguredAfter)
		return false
	}
	r.seen.ConfigVersion = r.table.Config().Version
	r.route = r.table.Route(r.http.Host, rawPath(r.http.RequestURI))
	if r.route == nil {
		r.refuse(http.StatusNotFound, outcomeInvalid, "no route", 0)
		return false
	}
	r.seen.Route = r.route.Name
	r.team = r.table.Team(call.APIKey)
	if r.team == nil && !r.route.Public && len(r.table.Config().Teams) > 0 {
		r.refuse(http.StatusUnauthorized, outcomeInvalid, "unknown key", 0)
		return false
	}
	if r.team != nil {
		r.seen.Team = r.team.Name
	}
	r.service = r.route.Pick(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.seen.Service = r.service
	if s := r.table.Service(r.service); s != nil {
		r.engine = s.Engine
	}
	r.setDeadline()
	return r.readBody()
}

// setDeadline takes the earlier one of the caller's limit and the route's.
func (r *request) setDeadline() {
	limit := r.call.Timeout
	if t := r.route.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	r.seen.Timeout = limit
	if limit > 0 {
		r.deadline = r.arrived.Add(limit)
	}
}

func (r *request) readBody() bool {
	limit := int64(defaultBodyLimit)
	if n := r.table.Config().Limits.BodyBytes; n > 0 {
		limit = int64(n)
	}
	if r.http.ContentLength > limit {
		r.refuse(http.StatusRequestEntityTooLarge, outcomeInvalid, "body too long", 0)
		return false
	}
	body, err := r.receiveBody(limit)
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.refuse(http.StatusRequestTimeout, outcomeRefused, "body not received in time", 0)
		return false
	case errors.As(err, &tooLong):
		r.refuse(http.StatusRequestEntityTooLarge, outcomeInvalid, "body too long", 0)
		return false
	case err != nil:
		r.refuse(http.StatusBadRequest, outcomeInvalid, "incomplete body", 0)
		return false
	}
	r.body = body
	return true
}

// receiveBody reads the body within the time that the request has.
func (r *request) receiveBody(limit int64) ([]byte, error) {
	if r.http.ContentLength == 0 {
		return nil, nil
	}
	end := r.deadline
	if end.IsZero() {
		end = r.arrived.Add(defaultLimit)
	}
	control := http.NewResponseController(r.writer)
	if err := control.SetReadDeadline(end); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(r.writer, r.http.Body, limit))
	if err != nil {
		return nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	return body, nil
}

// run sends the request to backend servers until one answers or no further one
// may have it.
func (r *request) run() {
	g := r.gateway
	g.awaitSuspects(r.ctx)
	if refusal := r.quarantined(); refusal != nil {
		r.giveUp(refusal)
		return
	}
	for {
		now := g.now()
		lease, refusal := r.place(now)
		if refusal != nil {
			r.giveUp(refusal)
			return
		}
		r.seen.Server = lease.Server.ID
		r.seen.Predicted, r.seen.Occupancy, r.seen.LoadAge = lease.Predicted, lease.Occupancy, lease.LoadAge
		end := r.exchange(lease)
		r.done(lease, end.result)
		switch {
		case end.final:
			return
		case end.left:
			r.callerLeft()
		case r.ctx.Err() != nil:
			r.timeOver()
			return
		case !r.mayRepeat(end):
			r.fail(end)
			return
		}
		g.config.Log.Log(eventlog.RequestRetried, "request", r.call.ID, "content", r.fingerprint(), "server", lease.Server.ID, "reason", end.reason,
			"sent", end.sent, "may_have_run", end.mayHaveRun, "last_event", r.stream.last, "config", r.seen.ConfigVersion)
	}
}

// mayRepeat reports whether another server may have the request after an
// attempt ended without an answer.
func (r *request) mayRepeat(end ending) bool {
	if end.sent && end.mayHaveRun && !r.route.Repeatable() {
		return false
	}
	if r.quarantined() != nil {
		return false
	}
	if !end.sent {
		// The request never left, so that neither the hop limit nor the retry
		// budget is concerned. The list of tried servers bounds the loop.
		return len(r.tried) < maxUnsent
	}
	if limit := r.route.MaxBackendServers; limit > 0 && r.reached >= limit {
		return false
	}
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Take(r.service, g.now())
}

// maxUnsent bounds the servers that are tried in vain for one request.
const maxUnsent = 4

// streaming reports whether the answer is a series of events.
func (r *request) streaming() bool { return r.route.Kind == serving.Streaming }

// rawPath returns the path of a request target as the caller wrote it: what is
// routed must be what the backend server sees.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
