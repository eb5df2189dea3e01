package distribute

import (
	"slices"
	"time"
)

// result is what one run showed.
type result struct {
	name string
	// done holds the times at which instances were complete, sorted.
	done        []time.Duration
	originBytes int64
	// incomplete counts surviving instances that did not complete whole.
	incomplete int
	survivors  int
}

func newResult(name string, start time.Time, fl *fleet) *result {
	r := &result{name: name, originBytes: fl.origin.bytes.Load()}
	for _, a := range fl.agents {
		if a.killed {
			continue
		}
		r.survivors++
		if a.err != nil || a.chunks.Verify(fl.manifest) != nil {
			r.incomplete++
			continue
		}
		r.done = append(r.done, a.finished.Sub(start))
	}
	slices.Sort(r.done)
	return r
}

// last is the time to the last instance.
func (r *result) last() time.Duration {
	if len(r.done) == 0 {
		return 0
	}
	return r.done[len(r.done)-1]
}

// copies is the number of copies read from the origin.
func (r *result) copies(o *Options) float64 { return float64(r.originBytes) / float64(o.Size) }
