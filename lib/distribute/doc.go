// Package distribute decides how weights reach many instances: Tracker assigns
// chunks to the agents of one failure domain, Downloader drives the transfer of
// one instance, RateShare sets the share of a link that transfers may use, and
// MakePlan calculates time and origin bytes in advance.
//
// All types are pure decisions. They take the time as an argument and an
// injected random source, start no goroutines and are not safe for concurrent
// use.
package distribute

import "time"

// Origin is the source address that stands for the origin in assignments.
const Origin = ""

const (
	// rateWeight is the weight of a new sample in moving averages of transfer
	// times: four samples replace most of the old value.
	rateWeight = 0.25
	// deadlineFactor is the number of average transfer times after which a
	// transfer counts as late. Fair sharing of a link makes single transfers
	// several times slower than the average without a fault.
	deadlineFactor = 8
)

// average is a moving average of durations.
type average struct{ value time.Duration }

func (a *average) add(d time.Duration) {
	if a.value == 0 {
		a.value = d
		return
	}
	a.value += time.Duration(rateWeight * float64(d-a.value))
}

// deadline returns a multiple of the average within bounds, or initial while
// nothing has been observed.
func (a *average) deadline(least, initial, most time.Duration) time.Duration {
	if a.value == 0 {
		return initial
	}
	return min(max(a.value*deadlineFactor, least), most)
}
