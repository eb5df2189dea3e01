package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// crash is the end of one instance.
type crash struct {
	instance model.InstanceID
	at       time.Time
}

// sortCrashes sorts crashes by time.
func sortCrashes(crashes []crash) {
	slices.SortFunc(crashes, func(a, b crash) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(a.instance, b.instance)
	})
}

// crashTimes returns the first crash of each instance that crashed, in order of time.
func (s *suspect) crashTimes(now time.Time, ttl time.Duration) []crash {
	first := make(map[model.InstanceID]time.Time, len(s.incidents))
	for id, in := range s.incidents {
		if in.cleared || now.Sub(in.first) > ttl {
			continue
		}
		if at, known := first[id.instance]; !known || in.first.Before(at) {
			first[id.instance] = in.first
		}
	}
	crashes := make([]crash, 0, len(first))
	for instance, at := range first {
		crashes = append(crashes, crash{instance, at})
	}
	sortCrashes(crashes)
	return crashes
}
