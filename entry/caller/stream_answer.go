package caller

import (
	"encoding/json"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Names of server-sent events.
const (
	EventChunk = "chunk"
	EventEnd   = "end"
)

// StreamEnd is the data of the final event. A stream without it is incomplete.
type StreamEnd struct {
	Outcome          string `json:"outcome"`
	Reason           string `json:"reason,omitempty"`
	RequestID        string `json:"request_id"`
	Frames           uint64 `json:"frames"`
	Digest           string `json:"digest,omitempty"`
	RetryAfterMillis int64  `json:"retry_after_ms,omitempty"`
	Message          string `json:"message,omitempty"`
}

// streamAnswer passes pieces on as server-sent events. The response starts with
// the first piece, so that a request that was not run still gets a plain status.
type streamAnswer struct {
	ctx     *app.RequestContext
	request string
	writer  *sse.Writer
	next    uint64
}

func newStreamAnswer(ctx *app.RequestContext, request string) *streamAnswer {
	return &streamAnswer{ctx: ctx, request: request}
}

func (a *streamAnswer) Buffered() bool { return false }

func (a *streamAnswer) Reset() {}

func (a *streamAnswer) Write(data []byte) error {
	if a.writer == nil {
		a.ctx.Response.Header.Set(HeaderRequestID, a.request)
		a.writer = sse.NewWriter(a.ctx)
	}
	encoded, err := json.Marshal(string(data))
	if err != nil {
		return err
	}
	id := strconv.FormatUint(a.next, 10)
	a.next++
	return a.writer.WriteEvent(id, EventChunk, encoded)
}

func (a *streamAnswer) End(r Result) {
	if a.writer == nil && r.Outcome != outcome.Completed {
		writePlainEnd(a.ctx, a.request, r)
		return
	}
	if a.writer == nil {
		a.ctx.Response.Header.Set(HeaderRequestID, a.request)
		a.writer = sse.NewWriter(a.ctx)
	}
	encoded, err := json.Marshal(streamEnd(a.request, r))
	if err == nil {
		_ = a.writer.WriteEvent("", EventEnd, encoded)
	}
	_ = a.writer.Close()
}

func streamEnd(request string, r Result) StreamEnd {
	end := StreamEnd{
		Outcome:          r.Outcome.String(),
		Reason:           string(r.Reason),
		RequestID:        request,
		Frames:           r.Frames,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
		Message:          r.Detail,
	}
	if r.Outcome == outcome.Completed {
		end.Digest = r.Digest.String()
	}
	return end
}
