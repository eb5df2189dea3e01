package operatorrpc

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// rolloutKey names a rollout within one stream.
type rolloutKey struct {
	model, version string
	domain         model.FailureDomain
	pool           string
}

// sample is the progress of a rollout at a time.
type sample struct {
	at    time.Time
	bytes int64
}

// estimator derives the remaining time of rollouts from their progress since
// the start of the call.
type estimator struct{ first map[rolloutKey]sample }

func newEstimator() *estimator { return &estimator{first: make(map[rolloutKey]sample)} }

// remaining returns false while there was no progress to derive a rate from.
func (e *estimator) remaining(r Rollout, now time.Time) (time.Duration, bool) {
	if r.Complete() {
		return 0, true
	}
	if r.Remaining > 0 {
		return r.Remaining, true
	}
	key := rolloutKey{r.Model, r.Version, r.Domain, r.Pool}
	done := r.OriginBytes + r.PeerBytes
	first, known := e.first[key]
	if !known || done < first.bytes {
		e.first[key] = sample{at: now, bytes: done}
		return 0, false
	}
	elapsed := now.Sub(first.at)
	if done == first.bytes || elapsed <= 0 {
		return 0, false
	}
	left := max(0, r.TotalBytes-done)
	return time.Duration(float64(elapsed) * float64(left) / float64(done-first.bytes)), true
}
