package placement

import "time"

// Load is what a server reported of itself.
type Load struct {
	// Running and Waiting count requests.
	Running, Queued int
	// PrefillTokens are the prompts without a first answer, of all entries.
	PrefillTokens int
	// Slowdown is how much slower than declared it works; zero means unknown.
	Slowdown float64
	// Age is the age of the counts when they were reported.
	Age time.Duration
	// Closed tells that the server takes no new requests now, as it loads
	// weights or does not answer its agent.
	Closed bool
}

// loadAge is the age at which a report no longer counts as current.
const loadAge = 3 * time.Second
