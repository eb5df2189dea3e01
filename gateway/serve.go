package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/serving"
)

const (
	// unconfiguredRetryAfter is when callers may retry at an entry that has no
	// configuration yet. Other entries of its domain may have one.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// defaultMaxBodyBytes bounds a request's body where the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// maxResponseBytes bounds the body of a buffered response.
	maxResponseBytes = 4 << 20
	// defaultTimeout applies where neither the caller nor the route sets a timeout: to
	// receiving the body and to the time between two events of a stream.
	defaultTimeout = 30 * time.Second
)

// ServeHTTP implements http.Handler: it serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	r := &request{gateway: g, writer: w, http: hr, ctx: hr.Context(), arrived: g.now()}
	r.stream.lastEventID = -1
	defer r.finish()
	defer r.answerPanic()
	if !r.accept() {
		return
	}
	if !r.deadline.IsZero() {
		ctx, cancel := context.WithTimeout(r.ctx, r.remaining(r.arrived))
		defer cancel()
		r.ctx = ctx
	}
	defer r.followDrain()()
	r.run()
}

// accept checks a request against the configuration and reads its body. If it
// returns false, it has sent the refusal.
func (r *request) accept() bool {
	g := r.gateway
	info, err := g.config.Dialect.ParseRequest(r.http.Header)
	r.info = info
	r.summary.ID = info.ID
	if err != nil {
		r.refuseUnread(http.StatusBadRequest, outcomeInvalid, "malformed header", 0)
		return false
	}
	r.table = g.table.Load()
	if r.table == nil {
		r.refuseUnread(http.StatusServiceUnavailable, outcomeRefused, "no configuration", unconfiguredRetryAfter)
		return false
	}
	r.summary.ConfigVersion = r.table.Config().Version
	r.route = r.table.Route(r.http.Host, rawPath(r.http.RequestURI))
	if r.route == nil {
		r.refuseUnread(http.StatusNotFound, outcomeInvalid, "no route", 0)
		return false
	}
	r.summary.Route = r.route.Name
	r.team = r.table.TeamByKey(info.APIKey)
	if r.team == nil && !r.route.Public && r.table.Config().RequiresKeys() {
		r.refuseUnread(http.StatusUnauthorized, outcomeInvalid, "unknown key", 0)
		return false
	}
	if r.team != nil {
		r.summary.Team = r.team.Name
	}
	r.service = r.route.PickService(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.summary.Service = r.service
	if s := r.table.Service(r.service); s != nil {
		r.engine = s.Engine
	}
	if r.isStreaming() && r.route.Repeatable() {
		r.stream.lastEventID = r.info.LastEventID
	}
	r.setDeadline()
	return !r.refuseLate() && r.readBody()
}

// setDeadline sets the deadline from the shorter one of the caller's and the route's
// timeouts.
func (r *request) setDeadline() {
	limit := r.info.Timeout
	if t := r.route.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	r.summary.Timeout = limit
	if limit > 0 {
		r.deadline = r.arrived.Add(limit)
	}
}

// run sends the request to backend servers, one after another, until one responds or
// the request must not be retried. A server that is silent keeps the request while others
// are asked.
func (r *request) run() {
	g := r.gateway
	g.awaitWarmup(r.ctx)
	if refusal := r.admit(); refusal != nil {
		r.endUnplaced(refusal)
		return
	}
	for {
		a, refusal := r.placeOrWait()
		switch {
		case refusal != nil:
			r.endUnplaced(refusal)
			return
		case a == nil:
			r.endContextDone()
			return
		}
		r.describe(a)
		result := r.exchange(a)
		for result.successor != nil {
			r.mayHaveRun = true
			r.endAttempt(a, result.result)
			a = result.successor
			r.describe(a)
			result = r.passOn(a)
		}
		r.endAttempt(a, result.result)
		switch {
		case result.delivered:
			return
		case result.callerGone:
			r.endCallerGone()
		case r.ctx.Err() != nil:
			r.endContextDone()
			return
		case !r.mayRetry(result):
			r.fail(result)
			return
		}
		r.logRetry(a, result)
	}
}

// describe records the attempt that the log line of the request names.
func (r *request) describe(a *attempt) {
	r.summary.Server, r.summary.PlacedBy = a.lease.Server.ID, a.placedBy
	r.summary.Predicted, r.summary.Occupancy, r.summary.LoadAge = a.lease.Predicted, a.lease.Occupancy, a.lease.LoadAge
}

// logRetry logs that another server than that of an attempt is asked.
func (r *request) logRetry(a *attempt, result attemptResult) {
	r.gateway.config.Log.Log(eventlog.RequestRetried, "request", r.info.ID, "content", r.fingerprint(), "server", a.lease.Server.ID, "reason", result.reason,
		"sent", result.sent, "may_have_run", result.mayHaveRun, "last_event", r.stream.lastEventID, "config", r.summary.ConfigVersion)
}

// mayRetry reports whether another server may get the request after an attempt
// without a response. It charges the retry budget.
func (r *request) mayRetry(result attemptResult) bool {
	return r.isRetryAllowed(result) && (!result.sent || r.chargeRetry())
}

// isRetryAllowed reports whether another server may get the request if the retry budget
// permits.
func (r *request) isRetryAllowed(result attemptResult) bool {
	if result.sent && result.mayHaveRun && !r.route.Repeatable() {
		return false
	}
	if r.stream.unnumbered || r.quarantineRefusal() != nil {
		return false
	}
	if !result.sent {
		// The request was not sent, so neither the limit on backend servers nor the retry
		// budget applies. Each tried server is excluded from later attempts, and
		// maxUnsentAttempts bounds their number and so the loop.
		return len(r.triedServers) < maxUnsentAttempts
	}
	return !r.isLastServer()
}

// hasRetry reports whether chargeRetry would return true now. A place costs its server's rate
// limit a request, so none is taken without a retry.
func (r *request) hasRetry() bool {
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.unusedRetry || g.budget.Remaining(r.service, g.now()) >= 1
}

// chargeRetry takes a retry from the budget, unless one that was taken has not been used. It
// returns false if none is left.
func (r *request) chargeRetry() bool {
	if r.unusedRetry {
		r.unusedRetry = false
		return true
	}
	g := r.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Take(r.service, g.now())
}

// maxUnsentAttempts bounds the servers tried for one request while attempts fail
// before the request is sent.
const maxUnsentAttempts = 4

// isStreaming reports whether the response is a stream of events.
func (r *request) isStreaming() bool { return r.route.Kind == serving.Streaming }

// rawPath returns the path of a request target in the form that the caller wrote:
// routing must see the same path as the backend server.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
