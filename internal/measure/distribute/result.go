package distribute

import (
	"slices"
	"time"
)

// result is what one run showed.
type result struct {
	name string
	// completionTimes holds the times at which instances were complete, sorted.
	completionTimes []time.Duration
	originBytes     int64
	// incomplete counts surviving instances that did not complete whole.
	incomplete int
	survivors  int
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

// timeToLast is the time to the last instance.
func (r *result) timeToLast() time.Duration {
	if len(r.completionTimes) == 0 {
		return 0
	}
	return r.completionTimes[len(r.completionTimes)-1]
}

// originCopies is the number of copies read from the origin.
func (r *result) originCopies(o *Options) float64 { return float64(r.originBytes) / float64(o.Size) }
