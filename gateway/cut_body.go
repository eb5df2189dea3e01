package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/auburnbend/auburnbend/lib/sse"
)

// checkEnd returns io.ErrUnexpectedEOF for the body of a success that ends with its
// connection, and where that must have ended too early: right after the head, or within
// an event. A server that stops while it sends its response could otherwise pass for one
// that has sent all of it.
func checkEnd(head *http.Response, body []byte) error {
	if hasMarkedEnd(head) || head.StatusCode >= http.StatusMultipleChoices || head.Request.Method == http.MethodHead {
		return nil
	}
	if len(body) == 0 || isEventStream(head) && endsInEvent(body) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// endsInEvent reports whether the last event of a stream is incomplete.
func endsInEvent(stream []byte) bool {
	events := sse.NewReader(bytes.NewReader(stream))
	for {
		if _, err := events.Next(); err != nil {
			return !errors.Is(err, io.EOF)
		}
	}
}
