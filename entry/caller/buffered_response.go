package caller

import (
	"bytes"
	"math"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// minOwnPart is the size in bytes from which data is kept as it is, and the smallest buffer
// for shorter data.
const minOwnPart = 4 << 10

// errResponseTooLarge is returned by Write if the response is too large for
// the memory of this entry.
var errResponseTooLarge = merry.New("response too large to buffer; request a stream with Accept: text/event-stream")

// bufferedResponse buffers the response and sends it only when it is complete.
type bufferedResponse struct {
	ctx     *app.RequestContext
	request string
	room    *responseRoom
	// parts are the data of the response, in all length bytes. A long response is never
	// copied into one buffer.
	parts  [][]byte
	length int
	// shared is true if the last part belongs to a caller of Write.
	shared bool
}

func newBufferedResponse(ctx *app.RequestContext, request string, room *responseRoom) *bufferedResponse {
	return &bufferedResponse{ctx: ctx, request: request, room: room}
}

func (w *bufferedResponse) Buffered() bool { return true }

func (w *bufferedResponse) Reset() {
	w.parts, w.length = nil, 0
	w.room.release()
}

// Write implements ResponseWriter. It waits for memory for a long response; the error then
// wraps memory.ErrExhausted.
func (w *bufferedResponse) Write(data []byte) error {
	if w.length+len(data) > w.room.budget.max {
		return merry.Wrap(errResponseTooLarge)
	}
	if err := w.room.grow(w.length + len(data)); err != nil {
		return err
	}
	w.length += len(data)
	last := len(w.parts) - 1
	switch {
	case len(data) >= minOwnPart:
		w.parts, w.shared = append(w.parts, data), true
	case last >= 0 && !w.shared && cap(w.parts[last])-len(w.parts[last]) >= len(data):
		w.parts[last] = append(w.parts[last], data...)
	default:
		w.parts, w.shared = append(w.parts, append(make([]byte, 0, w.bufferSize()), data...)), false
	}
	return nil
}

// bufferSize returns the size of the next buffer for short data. It grows with the response.
func (w *bufferedResponse) bufferSize() int { return max(minOwnPart, min(w.length, freeResponseBytes)) }

func (w *bufferedResponse) End(r Result) {
	hasResponse := r.Outcome == outcome.Completed || r.Outcome == outcome.Failed && w.length > 0
	if !hasResponse {
		w.Reset()
		writeOutcomeOnly(w.ctx, w.request, r)
		return
	}
	setOutcomeHeaders(w.ctx, w.request, r)
	if r.Outcome == outcome.Completed {
		w.ctx.Response.Header.Set(HeaderDigest, r.Digest.String())
	}
	contentType := r.ContentType
	if contentType == "" {
		contentType = "text/plain; charset=utf-8"
	}
	if w.length <= freeResponseBytes {
		w.ctx.Data(HTTPStatus(r), contentType, bytes.Join(w.parts, nil))
		return
	}
	w.ctx.SetContentType(contentType)
	w.ctx.SetStatusCode(HTTPStatus(r))
	// The room is returned once the response has been sent.
	w.ctx.Response.SetBodyStream(&heldBody{parts: w.parts, room: w.room}, w.length)
	w.parts = nil
}

func setOutcomeHeaders(ctx *app.RequestContext, request string, r Result) {
	h := &ctx.Response.Header
	h.Set(HeaderRequestID, request)
	h.Set(HeaderOutcome, r.Outcome.String())
	if r.Reason != outcome.ReasonNone {
		h.Set(HeaderReason, string(r.Reason))
	}
	if r.ClaimProof != "" {
		h.Set(HeaderClaimProof, r.ClaimProof)
	}
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
}

// writeOutcomeOnly sends a response without any data of a backend server.
func writeOutcomeOnly(ctx *app.RequestContext, request string, r Result) {
	setOutcomeHeaders(ctx, request, r)
	ctx.JSON(HTTPStatus(r), streamEnd(request, r))
}
