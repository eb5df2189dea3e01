// Package versions tracks which versions of weights are declared and from when
// on older versions must no longer serve.
package versions

import "time"

const (
	// assumedAgeShare is the age, as a fraction of the time limit, that is
	// assumed for a version declared before this process started to watch.
	assumedAgeShare = 0.6
)

// Registry holds the declared versions of each model. It is not safe for
// concurrent use.
type Registry struct {
	timeLimit    time.Duration
	declarations map[string][]declaration
}

type declaration struct {
	version    int
	declaredAt time.Time
}

// NewRegistry returns an empty Registry. timeLimit is the time after a
// declaration from which older versions must no longer serve; zero disables the
// limit.
func NewRegistry(timeLimit time.Duration) *Registry {
	return &Registry{timeLimit: timeLimit, declarations: make(map[string][]declaration)}
}

// SetTimeLimit changes the time limit, for versions that are already declared
// as well.
func (r *Registry) SetTimeLimit(timeLimit time.Duration) { r.timeLimit = timeLimit }

// Declare records a version that was declared just now. Versions that are not
// newer than the newest one are ignored.
func (r *Registry) Declare(model string, version int, now time.Time) { r.declare(model, version, now) }

// DeclareExisting records a version whose time of declaration is unknown. It
// assumes that part of the time limit has already passed.
func (r *Registry) DeclareExisting(model string, version int, now time.Time) {
	r.declare(model, version, now.Add(-time.Duration(assumedAgeShare*float64(r.timeLimit))))
}

func (r *Registry) declare(model string, version int, at time.Time) {
	list := r.declarations[model]
	if n := len(list); n > 0 && list[n-1].version >= version {
		return
	}
	r.declarations[model] = append(list, declaration{version: version, declaredAt: at})
}

// Newest returns the newest declared version, or zero if none is known.
func (r *Registry) Newest(model string) int {
	list := r.declarations[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// MinVersion returns the oldest version that may serve, or zero if every
// version may.
func (r *Registry) MinVersion(model string, now time.Time) int {
	if r.timeLimit <= 0 {
		return 0
	}
	minVersion := 0
	for _, d := range r.declarations[model] {
		if now.Sub(d.declaredAt) >= r.timeLimit {
			minVersion = d.version
		}
	}
	return minVersion
}

// NextMinVersion returns the next value of MinVersion and the time from which
// it applies, or zero values if no change is due.
func (r *Registry) NextMinVersion(model string, now time.Time) (version int, at time.Time) {
	if r.timeLimit <= 0 {
		return 0, time.Time{}
	}
	for _, d := range r.declarations[model] {
		if due := d.declaredAt.Add(r.timeLimit); due.After(now) {
			return d.version, due
		}
	}
	return 0, time.Time{}
}
