// Package versions keeps which versions of weights are declared, and since when
// older ones must no longer serve.
package versions

import "time"

const (
	// adoptedAge is assumed of a version that was declared before this process
	// began to watch, as a share of the bound.
	adoptedAge = 0.6
)

// Registry holds the declared version of each model. It is not safe for
// concurrent use.
type Registry struct {
	bound  time.Duration
	models map[string][]declaration
}

type declaration struct {
	version int
	at      time.Time
}

// NewRegistry returns an empty Wanted. bound is the time after a declaration at
// which older versions must no longer serve; zero never requires one.
func NewRegistry(bound time.Duration) *Registry {
	return &Registry{bound: bound, models: make(map[string][]declaration)}
}

// SetTimeLimit changes the bound, for what is declared already too.
func (w *Registry) SetTimeLimit(bound time.Duration) { w.bound = bound }

// Declare takes a version that was declared just now. Older ones are ignored.
func (w *Registry) Declare(model string, version int, now time.Time) { w.declare(model, version, now) }

// DeclareExisting takes a version of unknown age.
func (w *Registry) DeclareExisting(model string, version int, now time.Time) {
	w.declare(model, version, now.Add(-time.Duration(adoptedAge*float64(w.bound))))
}

func (w *Registry) declare(model string, version int, at time.Time) {
	list := w.models[model]
	if n := len(list); n > 0 && list[n-1].version >= version {
		return
	}
	w.models[model] = append(list, declaration{version: version, at: at})
}

// Newest returns the declared version, or zero if none is known.
func (w *Registry) Newest(model string) int {
	list := w.models[model]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].version
}

// MinVersion returns the oldest version that may serve, or zero if any may.
func (w *Registry) MinVersion(model string, now time.Time) int {
	if w.bound <= 0 {
		return 0
	}
	least := 0
	for _, d := range w.models[model] {
		if now.Sub(d.at) >= w.bound {
			least = d.version
		}
	}
	return least
}

// NextMinVersion returns the first version that becomes the oldest one that may serve,
// and when; zero if none is due.
func (w *Registry) NextMinVersion(model string, now time.Time) (version int, at time.Time) {
	if w.bound <= 0 {
		return 0, time.Time{}
	}
	for _, d := range w.models[model] {
		if due := d.at.Add(w.bound); due.After(now) {
			return d.version, due
		}
	}
	return 0, time.Time{}
}
