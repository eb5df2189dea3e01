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

// Result holds the counts of one run.
type Result struct {
	// LostServers counts crashes of backend servers by the poison request.
	LostServers int
	// UnsuspectedDispatches counts the dispatches of the poison request that the
	// dispatching entry did not treat as a suspect.
	UnsuspectedDispatches int
	// Innocents counts the innocent requests, Answered those that completed and
	// Quarantined those that were refused as quarantined.
	Innocents   int
	Answered    int
	Quarantined int
	// MaxDelay is the longest time from arrival to completion of an innocent
	// request.
	MaxDelay time.Duration
}
