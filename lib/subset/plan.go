package subset

import (
	"slices"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Agent is an agent with its pool.
type Agent struct {
	ID   model.InstanceID
	Pool string
}

// Plan is the set of connections of one failure domain. It is immutable and
// safe for concurrent use.
type Plan struct {
	byEntry map[model.InstanceID][]model.InstanceID
}

// Agents returns the agents that an entry connects to, sorted by ID. Callers
// must not modify the slice.
func (p Plan) Agents(entry model.InstanceID) []model.InstanceID { return p.byEntry[entry] }

// Connections returns the total number of connections.
func (p Plan) Connections() int {
	n := 0
	for _, agents := range p.byEntry {
		n += len(agents)
	}
	return n
}

// CountMoved returns the number of connections of p that are not in old,
// excluding those of new members.
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
