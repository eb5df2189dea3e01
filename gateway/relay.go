package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/sse"
)

// maxHeldBytes bounds the comments that are held back before the first event of an
// attempt.
const maxHeldBytes = 64 << 10

// openStream reads the first event of a stream. Comments before it are held back, because
// they do not show that the response is a stream. The head is sent with the first event, so
// that a stream which breaks earlier can restart on another server. A standby that began
// before the head goes on until the first event.
func (r *request) openStream(ctx context.Context, a *attempt, standby *standby) *attemptResult {
	if standby.halt() {
		standby.release()
		standby = r.newStandby(ctx, a, r.stallLimit())
	}
	// The head does not show that the request has begun: its first token does.
	r.gateway.limitWait(a, r.stallDeadline())
	a.events = sse.NewReaderInRoom(a.resp.Body, &eventRoom{ctx: ctx, budget: r.gateway.responseBudget, server: a.lease.Server.Address})
	event, err := a.readFirstEvent()
	failure := r.checkFirstEvent(a, event, err)
	if winner := standby.settle(failure); winner != nil {
		return succeededBy(winner)
	}
	if failure == nil {
		r.recordFirstEvent(a)
	}
	switch {
	case failure == nil && err == nil:
		a.next = &event
		return nil
	case failure == nil:
		return nil
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, errTooManyComments):
		return r.mayHaveRunResult(ctx, failure.Error())
	}
	return r.streamInterrupted(ctx, a, err)
}

// checkFirstEvent returns an error if a stream cannot be passed on from its first event, or
// from the error that came in place of one.
func (r *request) checkFirstEvent(a *attempt, event sse.Event, err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return r.checkWithoutEvents(a)
	case err != nil:
		return err
	}
	return r.checkEvent(event, true, r.stream.started, a.reply)
}

// streamInterrupted ends an attempt whose stream ended or stalled before it was complete.
func (r *request) streamInterrupted(ctx context.Context, a *attempt, err error) *attemptResult {
	r.recordInterrupted(ctx, a.lease, err)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return r.mayHaveRunResult(ctx, "stream stalled")
	}
	return r.mayHaveRunResult(ctx, "stream broken off")
}

// relay passes a stream on, event by event. Comments of a continuation before its first
// event are dropped.
func (r *request) relay(a *attempt) attemptResult {
	continues := r.stream.started
	if !continues {
		r.beginStream(a)
		if _, err := r.writer.Write(a.held); err != nil {
			return r.callerWriteFailed()
		}
	}
	if a.next == nil {
		return r.streamEnd(a)
	}
	control := http.NewResponseController(r.writer)
	write := func(raw []byte) error {
		if _, err := r.writer.Write(raw); err != nil || a.events.HasBufferedEvent() {
			return err
		}
		return control.Flush()
	}
	watch := r.newStallWatch(a, continues)
	defer watch.stop()
	event := *a.next
	for {
		if write(event.Raw) != nil {
			return r.callerWriteFailed()
		}
		r.recordEvent(event)
		var err error
		if event, err = watch.nextEvent(write); watch.winner != nil {
			return *succeededBy(watch.winner)
		}
		switch {
		case errors.Is(err, io.EOF):
			return r.streamEnd(a)
		case errors.Is(err, errCallerWrite):
			return r.callerWriteFailed()
		case err != nil:
			return *r.streamInterrupted(r.ctx, a, err)
		}
		if err := r.checkEvent(event, false, continues, a.reply); err != nil {
			// The events before it came with it and are not sent yet.
			if control.Flush() != nil {
				return r.callerWriteFailed()
			}
			return *r.mayHaveRunResult(r.ctx, err.Error())
		}
	}
}

// maxStallGaps is the time between two events after which another server may
// continue a stream, as a multiple of the longest such time in a healthy stream
// (Route.MaxEventGap). Callers disconnect after twice the product.
const maxStallGaps = 4

// stallLimit is how long the server of a stream may send no event until other servers are
// asked as well; zero if none can continue the stream.
func (r *request) stallLimit() time.Duration {
	if !r.route.Repeatable() || r.isLastServer() {
		return 0
	}
	return maxStallGaps * r.route.MaxEventGap
}

// stallDeadline is when an attempt ends if no event has come; zero if the request has a
// deadline of its own. A slow stream is not cut earlier.
func (r *request) stallDeadline() time.Time {
	if !r.deadline.IsZero() {
		return time.Time{}
	}
	return r.gateway.now().Add(defaultTimeout)
}

func (r *request) beginStream(a *attempt) {
	resp := a.resp
	r.stream.started = true
	r.ignoreDrain()
	r.stream.version = a.reply.Version
	r.summary.TimeToFirstByte = r.gateway.now().Sub(r.arrived)
	r.summary.Status = resp.StatusCode
	copyResponseHeader(r.writer.Header(), resp.Header)
	r.writeHead(resp.StatusCode)
}

func (r *request) recordEvent(event sse.Event) {
	now := r.gateway.now()
	if r.summary.Events > 0 {
		r.summary.LongestGap = max(r.summary.LongestGap, now.Sub(r.stream.lastEventAt))
	}
	r.stream.lastEventAt = now
	r.summary.Events++
	if event.HasID {
		if last := r.stream.lastEventID; last >= 0 && event.ID != last+1 {
			r.stream.irregular = true
		}
		r.stream.lastEventID = event.ID
	}
	r.stream.unnumbered = !event.HasID
	if v := r.gateway.config.Dialect.EventVersion(event.Raw); v > 0 {
		r.stream.version = v
	}
}

// checkWithoutEvents returns an error if a stream that has ended before its first event
// cannot be passed on; nil if the caller has all events and misses only the end.
func (r *request) checkWithoutEvents(a *attempt) error {
	switch {
	case r.stream.lastEventID < 0:
		return errNoEvents
	case r.stream.started && len(a.held) > 0, !hasMarkedEnd(a.resp):
		return errEmptyContinuation
	}
	return nil
}

// streamEnd ends an attempt whose stream has been passed on to its end.
func (r *request) streamEnd(a *attempt) attemptResult {
	if a.conn.Complete() != nil {
		return *r.mayHaveRunResult(r.ctx, "stream broken off")
	}
	r.summary.Outcome = string(outcomeAnswered)
	return attemptResult{result: placement.Answered, delivered: true, sent: true}
}

// callerWriteFailed ends an attempt whose caller does not accept the response any
// more.
func (r *request) callerWriteFailed() attemptResult {
	return attemptResult{result: placement.Cancelled, callerGone: true, sent: true}
}
