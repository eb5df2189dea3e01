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

// relay passes a stream on, event by event. The head is sent with the first
// event, so that a stream which breaks before it can begin anew elsewhere.
func (r *request) relay(lease *placement.Lease, x *upstream.Exchange, resp *http.Response, reply ResponseInfo) ending {
	if r.stream.begun && r.stream.version > 0 && reply.Version != r.stream.version {
		return r.unknown("continuation on other weights")
	}
	events := sse.NewReader(resp.Body)
	control := http.NewResponseController(r.writer)
	stall := r.stallLimit()
	progress := func() {
		limit := time.Time{}
		if stall > 0 {
			limit = r.gateway.now().Add(stall)
		}
		x.SetReadDeadline(limit)
	}
	progress()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.streamEnd()
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.noteInterrupted(lease, err)
			return r.unknown("stream stalled")
		}
		if err != nil {
			r.noteInterrupted(lease, err)
			return r.unknown("stream broken off")
		}
		if event.HasID && event.ID <= r.stream.last {
			return r.unknown("event out of order")
		}
		r.beginStream(resp, reply)
		if _, err := r.writer.Write(event.Raw); err != nil {
			return r.callerGone()
		}
		if !events.Buffered() {
			if err := control.Flush(); err != nil {
				return r.callerGone()
			}
		}
		r.noteEvent(event)
		// A comment is no sign that the stream goes on.
		if event.HasID || event.HasData {
			progress()
		}
	}
}

// stallGaps is the pause between two events, in the longest ones of a good stream,
// after which another server may go on with it. Callers leave after twice as long.
const stallGaps = 4

// stallLimit is the longest pause between two events of this attempt; zero sets
// none. A slow stream that nobody else can go on with is left alone.
func (r *request) stallLimit() time.Duration {
	g := r.gateway
	last := r.route.MaxBackendServers > 0 && r.reached >= r.route.MaxBackendServers
	if r.route.Repeatable() && !last && r.route.EventGap > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.budget.Remaining(r.service, g.now()) >= 1 {
			return stallGaps * r.route.EventGap
		}
	}
	if r.deadline.IsZero() {
		return defaultLimit
	}
	return 0
}

func (r *request) beginStream(resp *http.Response, reply ResponseInfo) {
	if r.stream.begun {
		return
	}
	r.stream.begun = true
	r.stream.version = reply.Version
	r.seen.TimeToFirstByte = r.gateway.now().Sub(r.arrived)
	r.seen.Status = resp.StatusCode
	copyAnswerHeader(r.writer.Header(), resp.Header)
	r.writer.WriteHeader(resp.StatusCode)
}

func (r *request) noteEvent(event sse.Event) {
	now := r.gateway.now()
	if r.seen.Events > 0 {
		r.seen.LongestGap = max(r.seen.LongestGap, now.Sub(r.stream.lastAt))
	}
	r.stream.lastAt = now
	r.seen.Events++
	if event.HasID {
		r.stream.last = event.ID
	}
}

func (r *request) streamEnd() ending {
	if !r.stream.begun {
		return r.unknown("stream without events")
	}
	r.seen.Outcome = string(outcomeAnswered)
	return ending{result: placement.Answered, final: true, sent: true}
}

// callerGone ends an attempt whose caller takes nothing more.
func (r *request) callerGone() ending {
	return ending{result: placement.Cancelled, left: true, sent: true}
}
