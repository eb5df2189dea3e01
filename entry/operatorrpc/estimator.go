package operatorrpc

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// rolloutKey identifies a rollout.
type rolloutKey struct {
	model, version string
	domain         model.FailureDomain
	pool           string
}

// sample is the progress of a rollout at a point in time.
type sample struct {
	at    time.Time
	bytes int64
}

// estimator estimates the remaining time of rollouts from their progress since the start
// of the call. It is not safe for concurrent use.
type estimator struct{ baseline map[rolloutKey]sample }

func newEstimator() *estimator { return &estimator{baseline: make(map[rolloutKey]sample)} }

// remaining returns the estimated remaining time of r. It returns false if there has
// been no progress from which to estimate it.
func (e *estimator) remaining(r Rollout, now time.Time) (time.Duration, bool) {
	if r.Complete() {
		return 0, true
	}
	if r.Remaining > 0 {
		return r.Remaining, true
	}
	key := rolloutKey{r.Model, r.Version, r.Domain, r.Pool}
	done := r.OriginBytes + r.PeerBytes
	baseline, ok := e.baseline[key]
	if !ok || done < baseline.bytes {
		e.baseline[key] = sample{at: now, bytes: done}
		return 0, false
	}
	elapsed := now.Sub(baseline.at)
	if done == baseline.bytes || elapsed <= 0 {
		return 0, false
	}
	missing := max(0, r.TotalBytes-done)
	return time.Duration(float64(elapsed) * float64(missing) / float64(done-baseline.bytes)), true
}
