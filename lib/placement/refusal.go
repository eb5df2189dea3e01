package placement

import "time"

// Reason tells why no server was chosen.
type Reason string

// Reasons of a refusal.
const (
	// NoServer means that no server of the service may run the request.
	NoServer Reason = "no_server"
	// NoWeights means that no server holds the wanted weights.
	NoWeights Reason = "no_weights"
	// Overloaded means that no server can answer in time.
	Overloaded Reason = "overloaded"
	// Paused means that all servers which could run the request have asked for a
	// pause.
	Paused Reason = "paused"
)

// Refusal tells why a request was not placed.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a place is expected.
	RetryAfter time.Duration
	// Predicted is the time to the first answer on the best server; zero if
	// there is no server.
	Predicted time.Duration
	// ExcludedServers names servers that leave or want a pause; some of them if they are
	// many.
	ExcludedServers []string
}

// longestWait is the part of the time that a caller has left up to which it waits
// as it is told.
const longestWait = 3

// absent refuses a request that no server may run now. New weights arrive seconds
// later, so that callers come back as late as they accept: those who came earlier
// were mostly refused again.
func absent(d *Request, reason Reason) *Refusal {
	after := absentRetryAfter
	if reason == NoWeights && d.Remaining > 0 {
		after = min(maxRetryAfter, d.Remaining/longestWait)
	}
	return &Refusal{Reason: reason, RetryAfter: after}
}
