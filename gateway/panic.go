package gateway

import (
	"errors"
	"net/http"
	"runtime/debug"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// answerPanic logs the panic of a fault of this package or of the Dialect, and answers the
// request if nothing was sent yet. net/http would close the connection without an answer.
func (r *request) answerPanic() {
	value := recover()
	if value == nil {
		return
	}
	if err, ok := value.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		// The caller is gone, or a stream was cut; both are logged.
		panic(value)
	}
	r.gateway.config.Log.Log(eventlog.RequestPanicked, "request", r.info.ID, "panic", value, "stack", string(debug.Stack()))
	switch {
	case r.summary.Status != 0:
		// The head was sent.
		r.abort(reasonPanic)
	case r.dispatched > 0:
		r.refuse(http.StatusBadGateway, outcomeUnknown, reasonPanic, 0)
	default:
		r.refuse(http.StatusServiceUnavailable, outcomeRefused, reasonPanic, rejectedRetryAfter)
	}
}

// reasonPanic is the reason of requests that end by a panic.
const reasonPanic = "internal fault"
