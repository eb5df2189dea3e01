package member

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
)

// sortEvents orders events that come from a map, so that replays are equal.
func sortEvents(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
}

func (v *View) sortedMembers() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(v.members))
	for id := range v.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
