package gateway

import (
	"net/http"
	"time"
)

// Dialect translates between headers and the types of this package. It is safe
// for concurrent use.
type Dialect interface {
	// ParseRequest reads what the caller says; an error names the header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// PrepareAttempt changes the caller's headers into those for a backend server.
	PrepareAttempt(h http.Header, d AttemptInfo)
	// ParseResponse reads what a backend server says.
	ParseResponse(status int, h http.Header) ResponseInfo
	// PrepareRefusal marks an answer of the gateway's own. after is when the caller may
	// come back; zero gives no time.
	PrepareRefusal(h http.Header, id string, after time.Duration)
}
