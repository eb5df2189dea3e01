package caller

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Names of the server-sent events.
const (
	// EventChunk carries a part of the response as a JSON string.
	EventChunk = "chunk"
	// EventBinary carries a part that is not valid UTF-8 as a JSON string in
	// base64.
	EventBinary = "binary"
	EventEnd    = "end"
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

// streamResponse sends data as server-sent events. The response starts with the
// first data, so that a request that was not run still gets a regular status
// code.
type streamResponse struct {
	ctx     *app.RequestContext
	request string
	writer  *sse.Writer
	nextID  uint64
	// partialRune holds the first bytes of an incomplete UTF-8 character.
	partialRune []byte
}

func newStreamResponse(ctx *app.RequestContext, request string) *streamResponse {
	return &streamResponse{ctx: ctx, request: request}
}

func (w *streamResponse) Buffered() bool { return false }

func (w *streamResponse) Reset() {}

func (w *streamResponse) Write(data []byte) error {
	if w.writer == nil {
		w.ctx.Response.Header.Set(HeaderRequestID, w.request)
		w.writer = sse.NewWriter(w.ctx)
	}
	// The data may end inside a character, whose bytes are kept for the next
	// call.
	data = append(w.partialRune, data...)
	complete := len(data) - incompleteTail(data)
	w.partialRune = append([]byte(nil), data[complete:]...)
	return w.writeData(data[:complete])
}

func (w *streamResponse) writeData(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	event, value := EventChunk, any(string(data))
	if !utf8.Valid(data) {
		event, value = EventBinary, data
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	id := strconv.FormatUint(w.nextID, 10)
	w.nextID++
	return w.writer.WriteEvent(id, event, encoded)
}

// incompleteTail returns the length of an incomplete UTF-8 character at the end
// of data.
func incompleteTail(data []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(data); n++ {
		if b := data[len(data)-n]; utf8.RuneStart(b) {
			if b >= utf8.RuneSelf && !utf8.FullRune(data[len(data)-n:]) {
				return n
			}
			return 0
		}
	}
	return 0
}

func (w *streamResponse) End(r Result) {
	if w.writer == nil && r.Outcome != outcome.Completed {
		writeOutcomeOnly(w.ctx, w.request, r)
		return
	}
	if w.writer == nil {
		w.ctx.Response.Header.Set(HeaderRequestID, w.request)
		w.writer = sse.NewWriter(w.ctx)
	}
	if w.writeData(w.partialRune) != nil {
		return
	}
	encoded, err := json.Marshal(streamEnd(w.request, r))
	if err == nil {
		_ = w.writer.WriteEvent("", EventEnd, encoded)
	}
	_ = w.writer.Close()
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
