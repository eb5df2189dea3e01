package gateway

import (
	"errors"
	"mime"
	"net/http"
	"strings"

	"github.com/auburnbend/auburnbend/lib/sse"
)

var (
	errNoEvents          = errors.New("stream without events")
	errEmptyContinuation = errors.New("continuation without events")

	errEventOrder      = errors.New("event out of order")
	errEventMissing    = errors.New("continuation after a missing event")
	errEventUnnumbered = errors.New("continuation with an event without a number")
	errOtherWeights    = errors.New("continuation on other weights")
	errErrorEvent      = errors.New("continuation with an error event")
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// isEventStream reports whether a response is a stream of events, and not an error
// page or another document with the same status.
func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// isEncoded reports whether the body of a response is encoded. Neither callers nor this
// package ask for that, so such a body is not the one that the server made.
func isEncoded(resp *http.Response) bool {
	for _, value := range resp.Header["Content-Encoding"] {
		if value != "" && !strings.EqualFold(value, "identity") {
			return true
		}
	}
	return false
}

// isContinuation reports whether a response may continue a stream whose head the caller
// already has. A response of HTTP/1.0 has no chunks: if the server sends them anyway,
// their sizes would become part of the stream.
func isContinuation(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && isEventStream(resp) && resp.ProtoAtLeast(1, 1)
}

// hasMarkedEnd reports whether the end of a response differs from that of a connection
// that is lost. A server that stops right after its head could otherwise pass for one
// that has no more events.
func hasMarkedEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// errorEventType is the type of events with which servers report an error.
const errorEventType = "error"

// checkEvent returns an error if an event must not be passed on. first is set for the
// first event of an attempt. continues is set if the event comes from another server
// than the head of the stream: it must then be a numbered event made with the same
// weights, so that no error of that server gets into the caller's stream.
func (r *request) checkEvent(e sse.Event, first, continues bool, reply ResponseInfo) error {
	last := r.stream.lastEventID
	switch {
	case e.HasID && e.ID <= last:
		return errEventOrder
	case e.IsIgnorable:
		return nil
	case first && continues && r.stream.version > 0 && reply.Version != r.stream.version:
		// A server that has no more events names no version, as it makes none. With events,
		// an unknown version is another one.
		return errOtherWeights
	case continues && !e.HasID:
		return errEventUnnumbered
	case continues && e.Type == errorEventType:
		return errErrorEvent
	case first && last >= 0 && e.HasID && e.ID != last+1 && !r.stream.irregular:
		return errEventMissing
	}
	return nil
}
