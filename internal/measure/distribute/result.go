package distribute

import (
	"slices"
	"time"
)

// result holds the measurements of one run.
type result struct {
	name string
	// completionTimes holds the times from the start of the run at which surviving
	// instances were complete, sorted.
	completionTimes []time.Duration
	originBytes     int64
	// incomplete counts the survivors that failed or hold incomplete weights.
	incomplete int
	// survivors counts the instances that were not killed.
	survivors int
}

func newResult(name string, start time.Time, fl *fleet) *result {
	r := &result{name: name, originBytes: fl.origin.bytesServed.Load()}
	for _, a := range fl.agents {
		if a.killed {
			continue
		}
		r.survivors++
		if a.err != nil || a.chunks.Verify(fl.manifest) != nil {
			r.incomplete++
			continue
		}
		r.completionTimes = append(r.completionTimes, a.finished.Sub(start))
	}
	slices.Sort(r.completionTimes)
	return r
}

// timeToLast returns the time until the last instance was complete, or 0 if none
// was.
func (r *result) timeToLast() time.Duration {
	if len(r.completionTimes) == 0 {
		return 0
	}
	return r.completionTimes[len(r.completionTimes)-1]
}

// originCopies returns the number of copies of the weights read from the origin.
func (r *result) originCopies(o *Options) float64 { return float64(r.originBytes) / float64(o.Size) }
