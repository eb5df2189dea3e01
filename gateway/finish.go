package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/placement"
)

// refuse responds with a status of the gateway's own. A 429 or 503 guarantees that
// the request has not run and never will.
func (r *request) refuse(status int, o outcome, reason string, retryAfter time.Duration) {
	r.summary.Outcome, r.summary.Reason, r.summary.Status, r.summary.RetryAfter = string(o), reason, status, retryAfter
	h := r.writer.Header()
	h["Content-Type"] = nil
	r.gateway.config.Dialect.PrepareRefusal(h, r.info.ID, retryAfter)
	r.writeHead(status)
}

// endUnplaced ends a request for which no server was found.
func (r *request) endUnplaced(refusal *placement.Refusal) {
	r.summary.Predicted, r.summary.ExcludedServers = refusal.Predicted, strings.Join(refusal.ExcludedServers, ", ")
	switch {
	case r.stream.started:
		r.abort(string(refusal.Reason))
	case r.serverError != nil:
		r.deliver(r.serverError)
	case r.mayHaveRun:
		r.refuse(http.StatusBadGateway, outcomeUnknown, string(refusal.Reason), 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, string(refusal.Reason), refusal.RetryAfter)
	}
}

// fail ends a request after its last attempt.
func (r *request) fail(result attemptResult) {
	switch {
	case r.stream.started:
		r.abort(result.reason)
	case r.serverError != nil:
		r.deliver(r.serverError)
	case r.mayHaveRun:
		r.refuse(http.StatusBadGateway, outcomeUnknown, result.reason, 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, result.reason, rejectedRetryAfter)
	}
}

// rejectedRetryAfter is when a caller may retry whose request several servers
// rejected.
const rejectedRetryAfter = 200 * time.Millisecond

// endContextDone ends a request whose context has ended: its caller is gone, its deadline
// has passed or the process stops.
func (r *request) endContextDone() {
	disconnected := r.http.Context().Err() != nil
	reason, retryAfter := "time over", rejectedRetryAfter
	if r.endedByDrain() {
		reason, retryAfter = reasonStopping, stoppingRetryAfter
	}
	switch {
	case disconnected && !errors.Is(context.Cause(r.http.Context()), context.DeadlineExceeded):
		r.endCallerGone()
	case r.stream.started:
		r.abort(reason)
	case r.serverError != nil:
		r.deliver(r.serverError)
	case r.mayHaveRun:
		r.refuse(http.StatusGatewayTimeout, outcomeUnknown, reason, 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, reason, retryAfter)
	}
}

// endCallerGone ends a request whose caller has disconnected. Without the abort,
// net/http would send an empty 200 response, and a caller that has closed only its
// sending side would take it for the real one.
func (r *request) endCallerGone() {
	r.summary.Outcome, r.summary.Reason = string(outcomeCallerGone), "caller left"
	r.resetUnframed()
	panic(http.ErrAbortHandler)
}

// abort cuts a stream, so that it does not look complete: net/http closes the
// connection on this panic value.
func (r *request) abort(reason string) {
	r.summary.Outcome, r.summary.Reason = string(outcomeBroken), reason
	r.resetUnframed()
	panic(http.ErrAbortHandler)
}

// deliver passes on a whole response of a backend server.
func (r *request) deliver(response *bufferedResponse) {
	r.summary.Outcome, r.summary.Status = string(outcomeAnswered), response.status
	r.summary.TimeToFirstByte = r.gateway.now().Sub(r.arrived)
	copyResponseHeader(r.writer.Header(), response.header)
	if len(response.body) > 0 {
		// With a length, a response whose connection ends too early does not look complete to
		// a caller with HTTP/1.0 either, which gets no chunks.
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	r.writeHead(response.status)
	if len(response.body) > 0 {
		// A write fails only if the caller has gone.
		_, _ = r.writer.Write(response.body)
	}
}

// finish releases the memory that the request holds and reports its end to
// Config.Observe.
func (r *request) finish() {
	for _, room := range r.rooms {
		room.Release()
	}
	r.bodyRoom.Release()
	if r.contentHashed {
		r.summary.ContentFingerprint = r.content.String()
	}
	if r.summary.Outcome == OutcomeAnswered {
		r.gateway.recordAnswered(r.subjects())
	}
	r.endTrial(false)
	r.summary.TotalTime = r.gateway.now().Sub(r.arrived)
	if r.gateway.config.Observe != nil {
		r.gateway.config.Observe(r.summary)
	}
}
