package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/auburnbend/auburnbend/lib/placement"
)

// refuse answers with a status of the gateway's own. A 429 or 503 promises that
// the request has not run and never will.
func (r *request) refuse(status int, o outcome, reason string, after time.Duration) {
	r.seen.Outcome, r.seen.Reason, r.seen.Status, r.seen.RetryAfter = string(o), reason, status, after
	h := r.writer.Header()
	h["Content-Type"] = nil
	r.gateway.config.Dialect.PrepareRefusal(h, r.call.ID, after)
	r.writer.WriteHeader(status)
}

// giveUp ends a request for which there is no server.
func (r *request) giveUp(refusal *placement.Refusal) {
	r.seen.Predicted, r.seen.ExcludedServers = refusal.Predicted, strings.Join(refusal.ExcludedServers, ", ")
	switch {
	case r.stream.begun:
		r.abort(string(refusal.Reason))
	case r.failure != nil:
		r.deliver(r.failure)
	case r.ran:
		r.refuse(http.StatusBadGateway, outcomeUnknown, string(refusal.Reason), 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, string(refusal.Reason), refusal.RetryAfter)
	}
}

// fail ends a request after its last attempt.
func (r *request) fail(end ending) {
	switch {
	case r.stream.begun:
		r.abort(end.reason)
	case r.failure != nil:
		r.deliver(r.failure)
	case r.ran:
		r.refuse(http.StatusBadGateway, outcomeUnknown, end.reason, 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, end.reason, rejectedAfter)
	}
}

// rejectedAfter is when a caller may come back whose request several servers
// did not take.
const rejectedAfter = 200 * time.Millisecond

// timeOver ends a request whose caller has left or whose time is over.
func (r *request) timeOver() {
	left := r.http.Context().Err() != nil
	switch {
	case left && !errors.Is(context.Cause(r.http.Context()), context.DeadlineExceeded):
		r.callerLeft()
	case r.stream.begun:
		r.abort("time over")
	case r.failure != nil:
		r.deliver(r.failure)
	case r.ran:
		r.refuse(http.StatusGatewayTimeout, outcomeUnknown, "time over", 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, "time over", rejectedAfter)
	}
}

// callerLeft ends a request whose caller is not there any more. Without an abort
// the library would answer with an empty success, which a caller that has closed
// only its own direction would take for the answer.
func (r *request) callerLeft() {
	r.seen.Outcome, r.seen.Reason = string(outcomeLeft), "caller left"
	panic(http.ErrAbortHandler)
}

// abort breaks a stream off, so that it does not look complete. The library
// closes the connection when it sees this value.
func (r *request) abort(reason string) {
	r.seen.Outcome, r.seen.Reason = string(outcomeBroken), reason
	panic(http.ErrAbortHandler)
}

// deliver passes on a backend server's whole answer.
func (r *request) deliver(a *answer) {
	r.seen.Outcome, r.seen.Status = string(outcomeAnswered), a.status
	r.seen.TimeToFirstByte = r.gateway.now().Sub(r.arrived)
	copyAnswerHeader(r.writer.Header(), a.header)
	r.writer.WriteHeader(a.status)
	if len(a.body) > 0 {
		// A failed write means that the caller left.
		_, _ = r.writer.Write(a.body)
	}
}

// finish gives back what the request holds and reports its end.
func (r *request) finish() {
	for _, release := range r.releases {
		release()
	}
	if r.hashed {
		r.seen.ContentFingerprint = r.content.String()
	}
	if r.seen.Outcome == OutcomeAnswered {
		r.gateway.noteAnswered(r.fingerprint())
	}
	r.seen.TotalTime = r.gateway.now().Sub(r.arrived)
	if r.gateway.config.Observe != nil {
		r.gateway.config.Observe(r.seen)
	}
}
