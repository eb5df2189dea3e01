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

// Counts holds the number of requests that arrived in the measurement window, by
// outcome. Offered is their total.
type Counts struct {
	// Late includes the requests without a response at the end of the run.
	Offered, InTime, Late, Refused int
}

// Result holds the counts and figures of one run.
type Result struct {
	Tenants map[model.Tenant]Counts
	// Window is the measurement window, in which the counted requests arrived.
	Window time.Duration
	// FirstToken holds the time from arrival to first token of each counted
	// response.
	FirstToken []time.Duration
	// BetweenTokens holds the mean time between tokens of each counted response.
	BetweenTokens []time.Duration
	// RefusalDelay holds the time from arrival to refusal of each refused request.
	RefusalDelay []time.Duration
	// PrefixHitRatio is the share of prompt tokens served from prefix caches.
	PrefixHitRatio float64
	// Imbalance is the mean number of sequences on the busiest engine divided by
	// the mean over all engines.
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

// Goodput returns the responses in time per second.
func (r *Result) Goodput() float64 {
	return float64(r.Total().InTime) / r.Window.Seconds()
}

// InTimeShare returns the share of offered requests with a response in time, or
// 0 if none were offered.
func (c Counts) InTimeShare() float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Offered)
}

// Quantile returns the q-quantile of unsorted values, or 0 if there are none.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
