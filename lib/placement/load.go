package placement

import "time"

// Load is a load report of a server.
type Load struct {
	// Running and Queued count requests.
	Running, Queued int
	// PrefillTokens are the prompt tokens of requests whose response has not started,
	// of all entries.
	PrefillTokens int
	// Slowdown is the ratio of the current to the declared processing time; zero means
	// unknown.
	Slowdown float64
	// Age is the age of the counts when the report arrived.
	Age time.Duration
	// Closed is set if the server accepts no new requests because it is loading weights
	// or does not respond to its agent.
	Closed bool
}

// maxReportAge is the age up to which a report counts as current.
const maxReportAge = 3 * time.Second
