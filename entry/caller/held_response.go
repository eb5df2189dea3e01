package caller

import (
	"slices"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/auburnbend/auburnbend/lib/outcome"
)

// heldStreamResponse streams the response of a plain service once it is complete. Its
// status comes with its end, so no byte can be sent before: the text of an error, or a
// part of a response that another attempt replaces, would be in the stream.
type heldStreamResponse struct {
	*bufferedResponse
	stream *streamResponse
}

func newHeldStreamResponse(ctx *app.RequestContext, request string, room *responseRoom) *heldStreamResponse {
	return &heldStreamResponse{bufferedResponse: newBufferedResponse(ctx, request, room), stream: newStreamResponse(ctx, request)}
}

// End sends a failure with its status, as to callers that want no stream.
func (w *heldStreamResponse) End(r Result) {
	if r.Outcome != outcome.Completed {
		w.bufferedResponse.End(r)
		return
	}
	defer w.Reset()
	for _, part := range w.parts {
		// An event is built in memory.
		for piece := range slices.Chunk(part, freeResponseBytes) {
			if w.stream.Write(piece) != nil {
				return
			}
		}
	}
	w.stream.End(r)
}
