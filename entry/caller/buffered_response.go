package caller

import (
	"math"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// maxBufferedBytes is the maximum size of a response that is not streamed.
const maxBufferedBytes = 64 << 20

// errResponseTooLarge is returned by Write if the response exceeds
// maxBufferedBytes.
var errResponseTooLarge = merry.New("response too large to buffer; request a stream with Accept: text/event-stream")

// bufferedResponse buffers the response and sends it only when it is complete.
type bufferedResponse struct {
	ctx     *app.RequestContext
	request string
	data    []byte
}

func newBufferedResponse(ctx *app.RequestContext, request string) *bufferedResponse {
	return &bufferedResponse{ctx: ctx, request: request}
}

func (w *bufferedResponse) Buffered() bool { return true }

func (w *bufferedResponse) Reset() { w.data = w.data[:0] }

func (w *bufferedResponse) Write(data []byte) error {
	if len(w.data)+len(data) > maxBufferedBytes {
		return merry.Wrap(errResponseTooLarge)
	}
	w.data = append(w.data, data...)
	return nil
}

func (w *bufferedResponse) End(r Result) {
	hasResponse := r.Outcome == outcome.Completed || r.Outcome == outcome.Failed && len(w.data) > 0
	if !hasResponse {
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
	w.ctx.Data(HTTPStatus(r), contentType, w.data)
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
