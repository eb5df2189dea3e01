package versions

import (
	"slices"
	"time"
)

// Deadline states that weights older than Version must no longer serve from At on.
type Deadline struct {
	Version int
	At      time.Time
}

// Deadlines are the deadlines of one model. Versions are often declared before the deadline
// of an earlier one has passed, so that there may be several.
type Deadlines []Deadline

// Of returns the time from which weights of a version must no longer serve, or zero if none
// of the deadlines applies to them.
func (d Deadlines) Of(version int) time.Time {
	var earliest time.Time
	for _, deadline := range d {
		if deadline.Version > version && (earliest.IsZero() || deadline.At.Before(earliest)) {
			earliest = deadline.At
		}
	}
	return earliest
}

// Limit returns at most n deadlines, none of which is later than the one that it replaces.
// n must be positive.
func (d Deadlines) Limit(n int) Deadlines {
	if len(d) <= n {
		return d
	}
	limited := slices.Clone(d[:n])
	for _, deadline := range d[n:] {
		limited[n-1].Version = max(limited[n-1].Version, deadline.Version)
	}
	return limited
}

// Merge returns the deadlines of both lists.
func (d Deadlines) Merge(other Deadlines) Deadlines {
	return slices.Concat(d, other).simplify()
}

// simplify orders the deadlines by time, and drops those that follow from earlier ones. It
// changes d.
func (d Deadlines) simplify() Deadlines {
	slices.SortFunc(d, func(a, b Deadline) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return b.Version - a.Version
	})
	newest := 0
	return slices.DeleteFunc(d, func(deadline Deadline) bool {
		if deadline.Version <= newest {
			return true
		}
		newest = deadline.Version
		return false
	})
}
