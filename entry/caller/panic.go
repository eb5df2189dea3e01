package caller

import (
	"context"
	"runtime/debug"

	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// endTracker records whether a response has been completed.
type endTracker struct {
	ResponseWriter
	ended bool
}

// End implements ResponseWriter.
func (w *endTracker) End(r Result) {
	w.ended = true
	w.ResponseWriter.End(r)
}

// handle calls the Handler. If that panics, it completes the response: the HTTP library would
// close the connection without an answer. Nobody knows then whether the request has run.
func (s *Server) handle(c context.Context, r *Request, w ResponseWriter) {
	tracker := &endTracker{ResponseWriter: w}
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		s.cfg.Log.Log(eventlog.RequestPanicked, "request", r.ID, "panic", value, "stack", string(debug.Stack()))
		if !tracker.ended {
			tracker.End(Result{Outcome: outcome.Unknown, Reason: outcome.ReasonInternalFault, Detail: "a fault of this entry has ended the request"})
		}
	}()
	s.cfg.Handler.Handle(c, r, tracker)
}
