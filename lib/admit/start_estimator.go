package admit

import "time"

// StartEstimator estimates the time from dispatch to the first token, from
// which the assembly sets Request.StartBy. It keeps a smoothed mean and mean
// deviation as TCP does for its retransmission timer (Jacobson, 1988). The zero
// value is ready to use. It is not safe for concurrent use.
type StartEstimator struct {
	mean, deviation time.Duration
	known           bool
}

// Observe takes one time from dispatch to first token.
func (e *StartEstimator) Observe(d time.Duration) {
	if !e.known {
		e.known, e.mean, e.deviation = true, d, d/2
		return
	}
	e.deviation += ((d - e.mean).Abs() - e.deviation) / 16
	e.mean += (d - e.mean) / 32
}

// StartBy returns when a request that arrived at arrival must be dispatched to
// have its first token within target, with two deviations of room. At least a
// tenth of the target is left for waiting, so that a wrong estimate does not
// close the queue for good.
func (e *StartEstimator) StartBy(arrival time.Time, target time.Duration) time.Time {
	return arrival.Add(max(target-e.mean-2*e.deviation, target/10))
}
