package gateway

import (
	"errors"
	"io"
	"net/http"

	"github.com/auburnbend/auburnbend/gateway/upstream"
	"github.com/auburnbend/auburnbend/lib/placement"
	"github.com/auburnbend/auburnbend/lib/sse"
)

// relay passes a stream on, event by event. The head is sent with the first
// event, so that a stream which breaks before it can begin anew elsewhere.
func (r *request) relay(lease *placement.Lease, x *upstream.Exchange, resp *http.Response, reply Reply) ending {
	if r.stream.begun && r.stream.version > 0 && reply.Version != r.stream.version {
		return r.unknown("continuation on other weights")
	}
	events := sse.NewReader(resp.Body)
	control := http.NewResponseController(r.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.streamEnd()
		}
		if err != nil {
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
	}
}

func (r *request) beginStream(resp *http.Response, reply Reply) {
	if r.stream.begun {
		return
	}
	r.stream.begun = true
	r.stream.version = reply.Version
	r.seen.First = r.gateway.now().Sub(r.arrived)
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

func (r *request) callerGone() ending {
	r.seen.Outcome, r.seen.Reason = string(outcomeLeft), "caller left"
	return ending{result: placement.Cancelled, final: true, sent: true}
}
