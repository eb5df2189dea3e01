package member

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
)

// sortEvents sorts events by instance. Events that were collected by iterating over
// a map would otherwise be in random order.
func sortEvents(events []Event) {
	slices.SortFunc(events, func(a, b Event) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
}

// sortedMembers returns the IDs of all members in order.
func (v *View) sortedMembers() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(v.members))
	for id := range v.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
