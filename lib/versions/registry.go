// Package versions tracks which versions of weights are declared and from when
// on older versions must no longer serve.
package versions

import (
	"slices"
	"time"
)

// Registry holds the declared versions of each model. It is not safe for
// concurrent use.
type Registry struct {
	timeLimit    time.Duration
	declarations map[string][]declaration
}

type declaration struct {
	version int
	// declaredAt is the earliest time at which the version may have been declared.
	declaredAt time.Time
	// barsFrom is since when older versions must no longer serve whatever the time limit is;
	// zero if that follows from declaredAt.
	barsFrom time.Time
}

// due returns the time from which older versions must no longer serve.
func (d *declaration) due(timeLimit time.Duration) time.Time {
	if !d.barsFrom.IsZero() {
		return d.barsFrom
	}
	return d.declaredAt.Add(timeLimit)
}

// NewRegistry returns an empty Registry. timeLimit is the time after a
// declaration from which older versions must no longer serve; zero disables the
// limit.
func NewRegistry(timeLimit time.Duration) *Registry {
	return &Registry{timeLimit: timeLimit, declarations: make(map[string][]declaration)}
}

// SetTimeLimit changes the time limit, for versions that are already declared
// as well. It does not change since when versions of DeclareBefore apply.
func (r *Registry) SetTimeLimit(timeLimit time.Duration) { r.timeLimit = timeLimit }

// Declare records a version that was declared at the given time at the earliest. Versions
// that are not newer than the newest one are ignored.
func (r *Registry) Declare(model string, version int, earliest time.Time) {
	r.declare(model, declaration{version: version, declaredAt: earliest})
}

// DeclareBefore records a version of which only is known that it was declared before
// this process started. Older versions must no longer serve from the given time on, as the
// time limit may already have passed.
func (r *Registry) DeclareBefore(model string, version int, from time.Time) {
	r.declare(model, declaration{version: version, declaredAt: from.Add(-r.timeLimit), barsFrom: from})
}

func (r *Registry) declare(model string, d declaration) {
	list := r.declarations[model]
	if n := len(list); n > 0 && list[n-1].version >= d.version {
		return
	}
	r.declarations[model] = r.dropCovered(append(list, d), d.declaredAt)
}

// retention is how long versions that a newer one covers are kept. It is longer than time
// limits are, as a later one may apply to them.
const retention = time.Hour

// dropCovered drops the first versions of a list for which the next one already bars all
// older versions at a time, and has done so for long. Each request reads the whole list.
func (r *Registry) dropCovered(list []declaration, now time.Time) []declaration {
	keep := max(retention, r.timeLimit)
	covered := 0
	for covered+1 < len(list) && now.Sub(list[covered+1].due(0)) > keep {
		covered++
	}
	return slices.Delete(list, 0, covered)
}

// Elapse makes all versions older by a time that the caller's clock has not counted.
func (r *Registry) Elapse(d time.Duration) {
	for _, list := range r.declarations {
		for i := range list {
			list[i].declaredAt = list[i].declaredAt.Add(-d)
			if from := &list[i].barsFrom; !from.IsZero() {
				*from = from.Add(-d)
			}
		}
	}
}

// Newest returns the newest declared version, or zero if none is known.
func (r *Registry) Newest(model string) int {
	list := r.declarations[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// Age returns the longest time for which the newest version may have been declared, or
// zero if none is known.
func (r *Registry) Age(model string, now time.Time) time.Duration {
	list := r.declarations[model]
	if len(list) == 0 {
		return 0
	}
	return max(0, now.Sub(list[len(list)-1].declaredAt))
}

// MinVersion returns the oldest version that may serve, or zero if every
// version may.
func (r *Registry) MinVersion(model string, now time.Time) int {
	if r.timeLimit <= 0 {
		return 0
	}
	minVersion := 0
	for _, d := range r.declarations[model] {
		if !now.Before(d.due(r.timeLimit)) {
			minVersion = d.version
		}
	}
	return minVersion
}

// Deadlines returns the deadlines after now at which MinVersion changes, in order. There is
// one for each declared version unless a newer one is due at the same time or earlier.
func (r *Registry) Deadlines(model string, now time.Time) Deadlines {
	if r.timeLimit <= 0 {
		return nil
	}
	minVersion := r.MinVersion(model, now)
	var due Deadlines
	for _, d := range r.declarations[model] {
		if d.version > minVersion {
			due = append(due, Deadline{Version: d.version, At: d.due(r.timeLimit)})
		}
	}
	return due.simplify()
}

// Deadline returns the time from which weights of a version must no longer serve, which may
// have passed, or zero if they may.
func (r *Registry) Deadline(model string, version int) time.Time {
	if r.timeLimit <= 0 {
		return time.Time{}
	}
	var earliest time.Time
	for _, d := range r.declarations[model] {
		if due := d.due(r.timeLimit); d.version > version && (earliest.IsZero() || due.Before(earliest)) {
			earliest = due
		}
	}
	return earliest
}
