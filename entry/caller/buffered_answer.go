package caller

import (
	"math"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// maxBufferedAnswer bounds an answer that is not streamed, in bytes.
const maxBufferedAnswer = 64 << 20

// errAnswerTooLarge ends an answer that does not fit into the buffer.
var errAnswerTooLarge = merry.New("answer too large to buffer; ask for a stream")

// bufferedAnswer collects the answer and passes it on only when it is whole.
type bufferedAnswer struct {
	ctx     *app.RequestContext
	request string
	data    []byte
}

func newBufferedAnswer(ctx *app.RequestContext, request string) *bufferedAnswer {
	return &bufferedAnswer{ctx: ctx, request: request}
}

func (a *bufferedAnswer) Buffered() bool { return true }

func (a *bufferedAnswer) Reset() { a.data = a.data[:0] }

func (a *bufferedAnswer) Write(data []byte) error {
	if len(a.data)+len(data) > maxBufferedAnswer {
		return merry.Wrap(errAnswerTooLarge)
	}
	a.data = append(a.data, data...)
	return nil
}

func (a *bufferedAnswer) End(r Result) {
	answered := r.Outcome == outcome.Completed || r.Outcome == outcome.Failed && len(a.data) > 0
	if !answered {
		writePlainEnd(a.ctx, a.request, r)
		return
	}
	setOutcomeHeaders(a.ctx, a.request, r)
	if r.Outcome == outcome.Completed {
		a.ctx.Response.Header.Set(HeaderDigest, r.Digest.String())
	}
	contentType := r.ContentType
	if contentType == "" {
		contentType = "text/plain; charset=utf-8"
	}
	a.ctx.Data(HTTPStatus(r), contentType, a.data)
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

// writePlainEnd answers without any piece of an answer from a backend server.
func writePlainEnd(ctx *app.RequestContext, request string, r Result) {
	setOutcomeHeaders(ctx, request, r)
	ctx.JSON(HTTPStatus(r), streamEnd(request, r))
}
