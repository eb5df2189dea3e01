package poison

import "time"

// Total sums the results of several runs.
type Total struct {
	Result
	Rounds         int
	MaxLostServers int
}

func (t *Total) add(r Result) {
	t.Rounds++
	t.LostServers += r.LostServers
	t.MaxLostServers = max(t.MaxLostServers, r.LostServers)
	t.Innocents += r.Innocents
	t.Answered += r.Answered
	t.Quarantined += r.Quarantined
	t.MaxDelay = max(t.MaxDelay, r.MaxDelay)
}

func (t *Total) mean(sum int) float64 { return float64(sum) / float64(max(t.Rounds, 1)) }

func (t *Total) answeredShare() float64 { return float64(t.Answered) / float64(max(t.Innocents, 1)) }

// Result is what one run came to.
type Result struct {
	// LostServers counts backend servers that the request crashed.
	LostServers int
	// UnsuspectedDispatches counts its dispatches at entries that knew of no crash.
	UnsuspectedDispatches int
	// Innocents counts the other requests, Answered those that were answered,
	// Quarantined those that were refused as quarantined.
	Innocents   int
	Answered    int
	Quarantined int
	// MaxDelay is the longest time to the answer of an innocent request.
	MaxDelay time.Duration
}
