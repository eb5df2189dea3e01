package admit

import "time"

// StartEstimator estimates the time from dispatch to the first token, from
// which callers derive Request.StartBy. It keeps a smoothed mean and mean
// deviation, as TCP does for its retransmission timer (Jacobson, 1988). The
// zero value is ready to use. It is not safe for concurrent use.
type StartEstimator struct {
	mean, deviation time.Duration
	initialized     bool
}

// Observe records the time from a dispatch to its first token.
func (e *StartEstimator) Observe(d time.Duration) {
	if !e.initialized {
		e.initialized, e.mean, e.deviation = true, d, d/2
		return
	}
	e.deviation += ((d - e.mean).Abs() - e.deviation) / 16
	e.mean += (d - e.mean) / 32
}

// StartBy returns the latest dispatch time for a request that arrived at
// arrival to get its first token within target, with a margin of two mean
// deviations. At least a tenth of target is left for queueing, so that a wrong
// estimate cannot block the queue permanently.
func (e *StartEstimator) StartBy(arrival time.Time, target time.Duration) time.Time {
	return arrival.Add(max(target-e.mean-2*e.deviation, target/10))
}

// maxBeginShare is the part of the time limit of a request that BeginBy leaves for it to begin
// at most, so that a wrong estimate cannot refuse all requests.
const maxBeginShare = 4

// BeginBy returns the latest dispatch time for a request that arrived at arrival to begin, and
// for that to be known, before its deadline.
func (e *StartEstimator) BeginBy(arrival, deadline time.Time) time.Time {
	return deadline.Add(-min(e.mean+2*e.deviation, deadline.Sub(arrival)/maxBeginShare))
}
