package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

// reasonStopping is the reason of requests that end because the process stops.
const reasonStopping = "process is stopping"

// errDrainEnded is the cause of the end of a request's context at the end of the drain.
var errDrainEnded = errors.New(reasonStopping)

const (
	// stoppingRetryAfter is when a caller may retry that is refused because of a stop.
	// Other entries can serve the request at once, and callers retry on new connections.
	stoppingRetryAfter = 50 * time.Millisecond
	// bodyDiscardTime is how long the rest of a refused request's body is read. A
	// connection that is closed with unread bytes is reset, and the caller could lose the
	// refusal.
	bodyDiscardTime = 200 * time.Millisecond
)

// drain is the state of a planned stop. It is safe for concurrent use.
type drain struct {
	started atomic.Bool
	// times is nil until the times are known.
	times atomic.Pointer[DrainTimes]
	// ended ends, with errDrainEnded, when requests in progress must be answered.
	ended context.Context
	end   context.CancelCauseFunc
}

func newDrain() *drain {
	ended, end := context.WithCancelCause(context.Background())
	return &drain{ended: ended, end: end}
}

// Drain makes Ready report false. The gateway continues to serve requests.
func (g *Gateway) Drain() { g.drain.started.Store(true) }

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool { return g.drain.started.Load() }

// SetDrainTimes sets or changes the times of the drain. Requests that arrive so late that
// they may not end in time are refused from then on.
func (g *Gateway) SetDrainTimes(t DrainTimes) { g.drain.times.Store(&t) }

// EndDrain makes the requests in progress end with an answer of the gateway's own: 503 if
// no server has been sent the request, 504 if it may have run. Streams that have begun
// continue: cutting them is all that could be done. Requests that arrive later are refused.
func (g *Gateway) EndDrain() { g.drain.end(errDrainEnded) }

// writeHead sends the head of a response. During a drain it announces that the connection
// closes, also if the request has arrived before.
func (r *request) writeHead(status int) {
	if r.gateway.Draining() {
		r.writer.Header().Set("Connection", "close")
	}
	r.writer.WriteHeader(status)
}

// refuseLate refuses a request that arrives late in a drain, and reports whether it did.
// As long as callers open new connections, requests are served: most end long before
// their limits, and those that do not get an answer at the end of the drain.
// Afterwards, only requests are served that must not be repeated and whose deadline is not
// after the end of the drain.
func (r *request) refuseLate() bool {
	d := r.gateway.drain
	times := d.times.Load()
	switch {
	case d.ended.Err() != nil:
	case times == nil || r.arrived.Before(times.ListenerCloses):
		return false
	case !r.route.Repeatable() && !r.deadline.IsZero() && !r.deadline.After(times.Ends):
		return false
	}
	r.refuseEarly(r.refuseStopping)
	return true
}

// refuseStopping refuses a request that has not been sent to any server because the
// process stops.
func (r *request) refuseStopping() {
	r.limitDiscard()
	r.refuse(http.StatusServiceUnavailable, outcomeRefused, reasonStopping, stoppingRetryAfter)
}

// refuseEarly refuses a request at once and then reads its body. The caller needs time to go
// to another entry, and one that reads its answer only after it has sent the whole request
// must not find a connection that was reset meanwhile. The refusal announces that the
// connection closes: what is left of a body that is not read to its end would be taken for
// requests. In full duplex, net/http does not check that.
func (r *request) refuseEarly(refuse func()) {
	control := http.NewResponseController(r.writer)
	// Otherwise net/http reads what it can of the body before it sends the head.
	if control.EnableFullDuplex() != nil {
		refuse()
		return
	}
	r.writer.Header().Set("Connection", "close")
	// Without a length, the answer would end only with the body.
	r.writer.Header().Set("Content-Length", "0")
	refuse()
	// An error means that the caller has gone.
	_ = control.Flush()
	r.discardBody()
}

// limitDiscard limits the time in which net/http reads the rest of a refused request's body.
func (r *request) limitDiscard() {
	_ = http.NewResponseController(r.writer).SetReadDeadline(r.gateway.now().Add(bodyDiscardTime))
}

// followDrain makes the context of the request end with the drain. The returned function
// releases resources and must be called at the end of the request.
func (r *request) followDrain() (release func()) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.ctx = ctx
	r.ignoreDrain = context.AfterFunc(r.gateway.drain.ended, func() { cancel(errDrainEnded) })
	return func() {
		r.ignoreDrain()
		cancel(nil)
	}
}

// interruptBody makes reads of the body fail when the drain ends. The returned function
// must be called after the last read. It reports whether reads were interrupted; if not,
// they no longer will be.
func (r *request) interruptBody(control *http.ResponseController) (interrupted func() bool) {
	done := make(chan struct{})
	unregister := context.AfterFunc(r.gateway.drain.ended, func() {
		defer close(done)
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	return func() bool {
		if unregister() {
			return false
		}
		<-done
		return true
	}
}

// endedByDrain reports whether the context of the request has ended with the drain.
func (r *request) endedByDrain() bool { return errors.Is(context.Cause(r.ctx), errDrainEnded) }
