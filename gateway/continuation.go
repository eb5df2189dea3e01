package gateway

import (
	"mime"
	"net/http"
	"strings"
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
