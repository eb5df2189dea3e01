package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// reportGatherTime is how long reports are gathered after an operator's call. While an
// operator watches rollouts, there is a call every two seconds by default.
const reportGatherTime = 30 * time.Second

// reports holds the latest rollout reports of other entries while an operator watches
// rollouts. It is safe for concurrent use.
type reports struct {
	clock clock.Clock

	mu          sync.Mutex
	requestedAt time.Time
	byInstance  map[model.InstanceID]*wire.RolloutReport
}

func newReports(c clock.Clock) *reports {
	return &reports{clock: c, byInstance: make(map[model.InstanceID]*wire.RolloutReport)}
}

// request records that an operator has asked for reports.
func (r *reports) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestedAt = r.clock.Now()
}

// requested reports whether reports should be gathered. If not, it drops those that it
// holds.
func (r *reports) requested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.requestedAt.IsZero() && r.clock.Now().Sub(r.requestedAt) < reportGatherTime {
		return true
	}
	clear(r.byInstance)
	return false
}

// put stores the latest report of another entry.
func (r *reports) put(from model.InstanceID, report *wire.RolloutReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byInstance[from] = report
}

// merge returns the statuses of own and of all other reports, one per instance and
// manifest. An instance that has changed trackers may be in several reports; the one
// with the furthest phase is used.
func (r *reports) merge(own *wire.RolloutReport) []wire.InstanceStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	statuses := slices.Clone(own.Instances)
	for _, report := range r.byInstance {
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
