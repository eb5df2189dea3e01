package subset

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Agent is an agent of the failure domain with its pool.
type Agent struct {
	ID   model.InstanceID
	Pool string
}

// Plan is the set of connections of one failure domain.
type Plan struct {
	byEntry map[model.InstanceID][]model.InstanceID
}

// Agents returns the agents that an entry connects to, in order of their ids.
// The caller does not change the slice.
func (p Plan) Agents(entry model.InstanceID) []model.InstanceID { return p.byEntry[entry] }

// Connections returns the number of connections of all entries.
func (p Plan) Connections() int {
	n := 0
	for _, agents := range p.byEntry {
		n += len(agents)
	}
	return n
}

// CountMoved counts the connections of p that are not in old, leaving out those of
// members that old did not have.
func (p Plan) CountMoved(old Plan, isNew func(model.InstanceID) bool) int {
	moved := 0
	for entry, agents := range p.byEntry {
		if isNew(entry) {
			continue
		}
		before := old.byEntry[entry]
		for _, a := range agents {
			if _, found := slices.BinarySearch(before, a); !found && !isNew(a) {
				moved++
			}
		}
	}
	return moved
}
