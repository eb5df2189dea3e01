package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/placement"
)

// ending is how one attempt ended.
type ending struct {
	result placement.Result
	// final tells that the caller has its answer, left that it takes none.
	final, left bool
	// sent tells that the request left for the server.
	sent bool
	// mayHaveRun tells that the server may have run it.
	mayHaveRun bool
	reason     string
}

// exchange sends the request to one server and passes its answer on.
func (r *request) exchange(lease *placement.Lease) ending {
	server := lease.Server
	r.tried = append(r.tried, server.Key())
	x, err := upstream.Dial(r.ctx, server.Address)
	if err != nil {
		r.gateway.noteUnreachable(server, err)
		return r.ended(placement.Unreachable, ending{reason: "unreachable"})
	}
	defer x.Close()
	opened := r.gateway.now()
	r.reached++
	r.seen.Attempts++
	x.SetReadDeadline(r.firstAnswerLimit(lease))
	resp, err := x.Do(r.upstreamRequest(r.dispatch(lease)))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.noteInterrupted(lease, err)
		return r.unknown("no answer in time")
	}
	if err != nil {
		r.noteInterrupted(lease, err)
		return r.unknown("no answer")
	}
	return r.answered(lease, x, resp, opened)
}

const (
	// firstAnswerTargets and firstAnswerPredictions bound the wait for the head of
	// a stream and for the whole of another answer, in targets of the route and in
	// predicted times, where another server may still have the request. A server may
	// take requests and never answer, or never end its answer, while its health is
	// good.
	firstAnswerTargets     = 3
	firstAnswerPredictions = 4
)

// firstAnswerLimit is when the request is taken from a server that has not begun to
// answer; zero for never.
func (r *request) firstAnswerLimit(lease *placement.Lease) time.Time {
	limit, due := r.repeatLimit(lease), r.weightsLimit(lease)
	if limit.IsZero() || !due.IsZero() && due.Before(limit) {
		return due
	}
	return limit
}

// beginReserve is the time before a bound on weights at which requests that wait on
// older ones are taken from their server: it covers the way there, also while pieces
// of weights fill its link.
const beginReserve = 200 * time.Millisecond

// weightsLimit is when the server may no longer begin the request, as its weights are
// too old by then; zero if they are not. The predicted wait is too short where most
// engines change their weights at the same time and the others get the requests of
// all.
func (r *request) weightsLimit(lease *placement.Lease) time.Time {
	w, known := lease.Server.Weights[r.call.Model]
	if !known || r.nextVersion == 0 || w.Version >= r.nextVersion {
		return time.Time{}
	}
	return r.nextAt.Add(-beginReserve)
}

// repeatLimit is when another server gets the request if this one has not begun to
// answer; zero if it must not be repeated.
func (r *request) repeatLimit(lease *placement.Lease) time.Time {
	last := r.route.MaxBackendServers > 0 && r.reached >= r.route.MaxBackendServers
	if !r.route.Repeatable() || last || r.route.TargetLatency <= 0 {
		return time.Time{}
	}
	return r.gateway.now().Add(max(firstAnswerTargets*r.route.TargetLatency, firstAnswerPredictions*lease.Predicted))
}

func (r *request) dispatch(lease *placement.Lease) AttemptInfo {
	now := r.gateway.now()
	d := AttemptInfo{Server: lease.Server, Remaining: r.left(now), LastEventID: -1}
	if r.team != nil {
		d.Team = r.team.Name
	}
	if r.call.LastEventID >= 0 {
		d.LastEventID = r.call.LastEventID
	}
	if r.stream.last >= 0 {
		d.LastEventID = r.stream.last
	}
	if w, ok := lease.Server.Weights[r.call.Model]; ok && r.call.Model != "" {
		// The server may have changed its weights since it told of them. An
		// answer on others than those that were chosen must not begin.
		d.Version = w.Version
	}
	return d
}

// answered handles the head of an answer on a connection that was opened at a
// moment.
func (r *request) answered(lease *placement.Lease, x *upstream.Exchange, resp *http.Response, opened time.Time) ending {
	g := r.gateway
	reply := g.config.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	r.noteReply(lease, reply, opened)
	switch {
	case reply.NotExecuted || reply.Misdirected:
		end := ending{result: placement.Rejected, sent: true, reason: "rejected by the server"}
		if reply.Misdirected {
			end.result, end.reason = placement.Mismatched, "another server or other weights at the address"
		}
		return end
	case reply.RequestID != r.call.ID:
		return r.unknown("answer of another request")
	case !reply.Signed && resp.StatusCode < 300:
		return r.unknown("answer without a signature")
	case r.streaming() && resp.StatusCode == http.StatusOK:
		return r.relay(lease, x, resp, reply)
	case r.stream.begun:
		return r.unknown("no continuation")
	}
	return r.whole(lease, resp, reply)
}

func (r *request) noteReply(lease *placement.Lease, reply ResponseInfo, opened time.Time) {
	g := r.gateway
	g.mu.Lock()
	now := g.now()
	if reply.Load != nil {
		g.picker.UpdateCounts(lease.Server.Key(), reply.Load.Running, reply.Load.Queued, now)
	}
	usage := g.picker.ResponseStarted(lease, now)
	spread := func() {}
	leaves := false
	// A rejection need not name the request; the connection is its own.
	if (reply.RequestID == r.call.ID || reply.RequestID == "" && reply.NotExecuted) && !reply.Misdirected {
		spread = g.alive(lease.Server.Key(), opened)
		leaves = g.noteSignals(lease.Server, reply, now)
	}
	g.mu.Unlock()
	spread()
	if leaves {
		g.tellLeaving(lease.Server.Key())
	}
	r.tellProgress(lease, usage, nil)
}

// whole passes on an answer that is not a stream. It is read to its end first,
// so that a broken one can be replaced.
func (r *request) whole(lease *placement.Lease, resp *http.Response, reply ResponseInfo) ending {
	body, release, err := r.gateway.bodies.ReadAll(resp, answerLimit)
	if err != nil {
		r.noteInterrupted(lease, err)
		return r.unknown("answer broken off, without an end or too long")
	}
	r.releases = append(r.releases, release)
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		r.ran = true
		if reply.Signed {
			r.failure = a
		}
		result := placement.Failed
		if reply.Pause > 0 {
			// The server protects itself.
			result = placement.Rejected
		}
		return ending{result: result, sent: true, mayHaveRun: true, reason: "failure of the server"}
	}
	r.deliver(a)
	return ending{result: placement.Answered, final: true, sent: true}
}

// unknown ends an attempt after which the request may have run.
func (r *request) unknown(reason string) ending {
	r.ran = true
	return r.ended(placement.Failed, ending{sent: true, mayHaveRun: true, reason: reason})
}

// ended tells an attempt that the caller ended from one that the server failed.
func (r *request) ended(result placement.Result, end ending) ending {
	end.result = result
	if r.ctx.Err() != nil {
		end.result = placement.Cancelled
	}
	return end
}
