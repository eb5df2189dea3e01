package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// reportInterest is the time for which reports are gathered after an operator
// asked for them: a watch asks every two seconds.
const reportInterest = 30 * time.Second

// reports gathers rollout reports of other entries while an operator asks for
// them. It is safe for concurrent use.
type reports struct {
	clock clock.Clock

	mu    sync.Mutex
	asked time.Time
	last  map[model.InstanceID]*wire.RolloutReport
}

func newReports(c clock.Clock) *reports {
	return &reports{clock: c, last: make(map[model.InstanceID]*wire.RolloutReport)}
}

// want notes that an operator asks for reports.
func (r *reports) want() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = r.clock.Now()
}

// wanted reports whether reports are to be gathered, and forgets old ones when
// they are not.
func (r *reports) wanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.asked.IsZero() && r.clock.Now().Sub(r.asked) < reportInterest {
		return true
	}
	clear(r.last)
	return false
}

func (r *reports) put(from model.InstanceID, report *wire.RolloutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[from] = report
}

// all returns the statuses of all reports, the given one first. An instance that
// changed trackers stands in several; the furthest phase counts.
func (r *reports) all(own *wire.RolloutReport) []wire.InstanceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := slices.Clone(own.Instances)
	for _, report := range r.last {
		statuses = append(statuses, report.Instances...)
	}
	type key struct {
		instance model.InstanceID
		manifest model.Digest
	}
	furthest := make(map[key]wire.InstanceStatus, len(statuses))
	for _, s := range statuses {
		k := key{s.Instance, s.Status.Manifest}
		if known, ok := furthest[k]; !ok || s.Status.Phase > known.Status.Phase {
			furthest[k] = s
		}
	}
	unique := make([]wire.InstanceStatus, 0, len(furthest))
	for _, s := range furthest {
		unique = append(unique, s)
	}
	return unique
}
