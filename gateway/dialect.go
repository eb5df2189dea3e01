package gateway

import (
	"net/http"
	"time"
)

// Dialect translates between HTTP headers and the types of this package.
// Implementations must be safe for concurrent use.
type Dialect interface {
	// ParseRequest decodes a caller's headers. An error names the malformed header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// PrepareAttempt turns the caller's headers into those for a backend server, in
	// place.
	PrepareAttempt(h http.Header, info AttemptInfo)
	// ParseResponse decodes a backend server's status and headers.
	ParseResponse(status int, h http.Header) ResponseInfo
	// EventVersion returns the version of the weights that an event of a stream names,
	// because it is the first one made with them; zero if it names none.
	EventVersion(event []byte) int
	// PrepareRefusal sets the headers of a response that the gateway itself makes to
	// the request with the given ID. retryAfter is the time after which the caller may
	// retry; zero sets none.
	PrepareRefusal(h http.Header, id string, retryAfter time.Duration)
}
