package fleet

import (
	"slices"
	"strconv"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

func requestID(serial uint64) model.RequestID {
	return model.RequestID(strconv.FormatUint(serial, 10))
}

// Counts are the requests of one tenant that arrived in the measured time.
type Counts struct {
	Offered, InTime, Late, Refused int
}

// Result is the outcome of one run.
type Result struct {
	Tenants map[model.Tenant]Counts
	// Window is the time in which the counted requests arrived.
	Window time.Duration
	// FirstToken holds the times to first token of all counted answers, from
	// the arrival of the request.
	FirstToken []time.Duration
	// BetweenTokens holds the mean time between tokens of each answer.
	BetweenTokens []time.Duration
	// RefusalDelay holds the times from arrival to refusal.
	RefusalDelay []time.Duration
	// PrefixHitRatio is the share of prompt tokens that came from prefix caches.
	PrefixHitRatio float64
	// Imbalance is the mean number of sequences on the fullest engine over the
	// mean of all engines.
	Imbalance float64
}

// Total sums the counts of all tenants.
func (r *Result) Total() Counts {
	var sum Counts
	for _, c := range r.Tenants {
		sum.Offered += c.Offered
		sum.InTime += c.InTime
		sum.Late += c.Late
		sum.Refused += c.Refused
	}
	return sum
}

// Goodput returns the answers in time per second.
func (r *Result) Goodput() float64 {
	return float64(r.Total().InTime) / r.Window.Seconds()
}

// InTimeShare returns the share of offered requests that were answered in time.
func (c Counts) InTimeShare() float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Offered)
}

// Quantile returns a quantile of durations, 0 without any.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
