package replica

import "time"

// maxDatagramDelay is the time by which a report may arrive late. A report that makes a
// version younger by less is ignored, as its own delay does that, too.
const maxDatagramDelay = 500 * time.Millisecond

// SetTarget sets the version that the engine must serve, which has just been declared.
func (r *Replica) SetTarget(model string, version int) { r.SetTargetAged(model, version, 0) }

// SetTargetAged sets the version that the engine must serve, which was declared maxAge ago
// at the earliest. It ignores older versions of the same model. Of several reports on one
// version the youngest age counts, as each is an upper bound.
func (r *Replica) SetTargetAged(model string, version int, maxAge time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since := r.config.Clock.Now().Add(-maxAge)
	if r.target.model == model && r.target.version >= version {
		if r.target.version == version && since.After(r.target.since.Add(maxDatagramDelay)) {
			r.target.since = since
		}
		return
	}
	r.target = target{model: model, version: version, since: since}
	r.wakeRun()
}

// MaxRolloutTime returns the time within which a declared version must serve on all
// instances.
func (r *Replica) MaxRolloutTime() time.Duration { return time.Duration(r.maxRolloutTime.Load()) }

// Suspended tells that the machine was suspended for a time that the Replica's clock has
// not counted.
func (r *Replica) Suspended(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target.since = r.target.since.Add(-d)
	for _, p := range r.pending {
		p.since, p.loadAfter = p.since.Add(-d), p.loadAfter.Add(-d)
	}
}
