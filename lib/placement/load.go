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
	// LinkDelay is how long data may wait on the link of the server's instance, while
	// transfers of weights make it long; zero otherwise.
	LinkDelay time.Duration
	// Closed is set if the server accepts no new requests because it is loading weights
	// or does not respond to its agent.
	Closed bool
}

// maxReportAge is the age up to which a report counts as current.
const maxReportAge = 3 * time.Second

const (
	// maxReportedRequests and maxReportedTokens are far above what a server has. The
	// predicted time would overflow for larger counts.
	maxReportedRequests = 1 << 20
	maxReportedTokens   = 1 << 30
	// maxSlowdown bounds the ratio of the current to the declared processing time.
	maxSlowdown = 1000
	// maxLinkDelay is longer than any request waits on a link.
	maxLinkDelay = time.Minute
)

// limit bounds the counts, the delay and the slowdown. A slowdown that is no number becomes zero,
// which means unknown.
func (l *Load) limit() {
	l.Running, l.Queued = limitCount(l.Running, maxReportedRequests), limitCount(l.Queued, maxReportedRequests)
	l.PrefillTokens = limitCount(l.PrefillTokens, maxReportedTokens)
	l.LinkDelay = min(max(l.LinkDelay, 0), maxLinkDelay)
	if !(l.Slowdown > 0) {
		l.Slowdown = 0
	}
	l.Slowdown = min(l.Slowdown, maxSlowdown)
}

func limitCount(n, most int) int { return min(max(n, 0), most) }
