package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/sse"
)

// maxHeldBytes bounds the comments that are held back before the first event of an
// attempt.
const maxHeldBytes = 64 << 10

// relay passes a stream on, event by event. The head is sent with the first event,
// so that a stream which breaks earlier can restart on another server. Comments before
// it are held back, because they do not show that the response is a stream; those of a
// continuation are dropped.
func (r *request) relay(lease *placement.Lease, conn *upstream.Exchange, resp *http.Response, reply ResponseInfo) attemptResult {
	if v := r.stream.version; r.stream.started && v > 0 && reply.Version > 0 && reply.Version != v {
		return r.mayHaveRunResult(errOtherWeights.Error())
	}
	continues := r.stream.started
	passedOn := 0
	// held are the comments before the first event of the attempt.
	var held []byte
	events := sse.NewReader(resp.Body)
	control := http.NewResponseController(r.writer)
	timeout := r.stallTimeout()
	extendDeadline := func() {
		deadline := time.Time{}
		if timeout > 0 {
			deadline = r.gateway.now().Add(timeout)
		}
		conn.SetReadDeadline(deadline)
	}
	extendDeadline()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if passedOn == 0 {
				return r.endWithoutEvents(resp, reply, held)
			}
			return r.streamEnd()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.recordInterrupted(lease, err)
			return r.mayHaveRunResult("stream stalled")
		}
		if err != nil {
			r.recordInterrupted(lease, err)
			return r.mayHaveRunResult("stream broken off")
		}
		if err := r.checkEvent(event, passedOn == 0, continues, reply); err != nil {
			// The events before it came with it and are not sent yet.
			if r.stream.started && control.Flush() != nil {
				return r.callerWriteFailed()
			}
			return r.mayHaveRunResult(err.Error())
		}
		if passedOn == 0 && event.IsIgnorable {
			if held = append(held, event.Raw...); len(held) > maxHeldBytes {
				return r.mayHaveRunResult("too many comments before the first event")
			}
			continue
		}
		if !continues && passedOn == 0 {
			r.beginStream(resp, reply)
			if _, err := r.writer.Write(held); err != nil {
				return r.callerWriteFailed()
			}
		}
		if !event.IsIgnorable {
			passedOn++
		}
		if _, err := r.writer.Write(event.Raw); err != nil {
			return r.callerWriteFailed()
		}
		if !events.HasBufferedEvent() {
			if err := control.Flush(); err != nil {
				return r.callerWriteFailed()
			}
		}
		r.recordEvent(event)
		// A comment does not show that the stream makes progress.
		if event.HasID || event.HasData {
			extendDeadline()
		}
	}
}

// maxStallGaps is the time between two events after which another server may
// continue a stream, as a multiple of the longest such time in a healthy stream
// (Route.MaxEventGap). Callers disconnect after twice the product.
const maxStallGaps = 4

// stallTimeout returns the maximum time between two events of this attempt; zero
// sets no limit. A slow stream that no other server can continue is not cut.
func (r *request) stallTimeout() time.Duration {
	g := r.gateway
	last := r.route.MaxBackendServers > 0 && r.dispatched >= r.route.MaxBackendServers
	if r.route.Repeatable() && !last && r.route.MaxEventGap > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.budget.Remaining(r.service, g.now()) >= 1 {
			return maxStallGaps * r.route.MaxEventGap
		}
	}
	if r.deadline.IsZero() {
		return defaultTimeout
	}
	return 0
}

func (r *request) beginStream(resp *http.Response, reply ResponseInfo) {
	r.stream.started = true
	r.ignoreDrain()
	r.stream.version = reply.Version
	r.summary.TimeToFirstByte = r.gateway.now().Sub(r.arrived)
	r.summary.Status = resp.StatusCode
	copyResponseHeader(r.writer.Header(), resp.Header)
	r.writer.WriteHeader(resp.StatusCode)
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
	if !event.IsIgnorable {
		r.stream.unnumbered = !event.HasID
	}
	if v := r.gateway.config.Dialect.EventVersion(event.Raw); v > 0 {
		r.stream.version = v
	}
}

// endWithoutEvents ends an attempt whose stream has ended before its first event.
func (r *request) endWithoutEvents(resp *http.Response, reply ResponseInfo, held []byte) attemptResult {
	switch {
	case r.stream.lastEventID < 0:
		return r.mayHaveRunResult("stream without events")
	case r.stream.started && len(held) > 0, !hasMarkedEnd(resp):
		return r.mayHaveRunResult("continuation without events")
	}
	// The caller has all events and misses only the end.
	if !r.stream.started {
		r.beginStream(resp, reply)
		if _, err := r.writer.Write(held); err != nil {
			return r.callerWriteFailed()
		}
	}
	return r.streamEnd()
}

func (r *request) streamEnd() attemptResult {
	r.summary.Outcome = string(outcomeAnswered)
	return attemptResult{result: placement.Answered, delivered: true, sent: true}
}

// callerWriteFailed ends an attempt whose caller does not accept the response any
// more.
func (r *request) callerWriteFailed() attemptResult {
	return attemptResult{result: placement.Cancelled, callerGone: true, sent: true}
}
