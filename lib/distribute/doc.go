// Package distribute contains the decision logic for distributing weights to
// many instances. Tracker assigns chunks to the agents of one failure domain,
// Downloader drives the transfer of one instance, LinkShare sets the share of a
// link that transfers may use, and MakePlan estimates completion time and
// origin traffic in advance.
//
// The types perform no I/O and start no goroutines: callers pass in the current
// time and a random source. They are not safe for concurrent use.
package distribute

import "time"

// Origin is the source address that denotes the origin in assignments.
const Origin = ""

const (
	// sampleWeight is the weight of a new sample in the moving averages of
	// transfer times: four samples replace most of the previous value.
	sampleWeight = 0.25
	// timeoutFactor is the multiple of the average transfer time after which a
	// transfer counts as late. Fair sharing of a link can make single transfers
	// several times slower than the average without any fault.
	timeoutFactor = 8
)

// movingAverage is an exponentially weighted moving average of durations. The
// zero value has no samples.
type movingAverage struct{ value time.Duration }

func (a *movingAverage) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(sampleWeight * float64(d-a.value))
}

// timeout returns timeoutFactor times the average, limited to [lower, upper],
// or initial if there are no samples.
func (a *movingAverage) timeout(lower, initial, upper time.Duration) time.Duration {
	if a.value == 0 {
		return initial
	}
	return min(max(a.value*timeoutFactor, lower), upper)
}
