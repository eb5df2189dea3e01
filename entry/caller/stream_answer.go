package caller

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Names of server-sent events.
const (
	// EventChunk carries a piece of text as a JSON string.
	EventChunk = "chunk"
	// EventBinary carries a piece that is not UTF-8 as a JSON string in base64.
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

// streamAnswer passes pieces on as server-sent events. The response starts with
// the first piece, so that a request that was not run still gets a plain status.
type streamAnswer struct {
	ctx     *app.RequestContext
	request string
	writer  *sse.Writer
	next    uint64
	// held are the first bytes of a character that is not complete yet.
	held []byte
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
	// A piece may end inside a character, whose bytes wait for the next piece.
	data = append(a.held, data...)
	whole := len(data) - incompleteTail(data)
	a.held = append([]byte(nil), data[whole:]...)
	return a.writePiece(data[:whole])
}

func (a *streamAnswer) writePiece(data []byte) error {
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
	id := strconv.FormatUint(a.next, 10)
	a.next++
	return a.writer.WriteEvent(id, event, encoded)
}

// incompleteTail returns the number of bytes at the end of data that begin a
// character without ending it.
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

func (a *streamAnswer) End(r Result) {
	if a.writer == nil && r.Outcome != outcome.Completed {
		writePlainEnd(a.ctx, a.request, r)
		return
	}
	if a.writer == nil {
		a.ctx.Response.Header.Set(HeaderRequestID, a.request)
		a.writer = sse.NewWriter(a.ctx)
	}
	if a.writePiece(a.held) != nil {
		return
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
