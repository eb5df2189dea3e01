package admit

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// tenantQueue holds the waiting requests of one tenant.
type tenantQueue struct {
	flow
	name      model.Tenant
	maxQueued int
	virtual   float64 // of the tenant's classes
	classes   []*classQueue
	names     []model.Class
	queued    int
	demand    demand
	served    rate // while requests of the tenant wait
	tokens    int  // estimated tokens of the waiting requests
}

// class returns the queue of a class. It takes over a changed priority.
func (t *tenantQueue) class(name model.Class, priority int, weight float64) *classQueue {
	for i, n := range t.names {
		if n == name {
			t.classes[i].priority, t.classes[i].weight = priority, weight
			return t.classes[i]
		}
	}
	c := &classQueue{priority: priority, flow: flow{weight: weight}}
	t.classes = append(t.classes, c)
	t.names = append(t.names, name)
	return c
}

// next returns the class to serve and its first item, or nil.
func (t *tenantQueue) next() (*classQueue, *item) {
	var best *classQueue
	var first *item
	for _, c := range t.classes {
		head := c.head()
		if head == nil {
			continue
		}
		if best == nil || c.before(best, t.virtual) {
			best, first = c, head
		}
	}
	return best, first
}

// before orders classes by start tag, then by priority.
func (c *classQueue) before(other *classQueue, virtual float64) bool {
	a, b := c.start(virtual, 0), other.start(virtual, 0)
	if a != b {
		return a < b
	}
	return c.priority > other.priority
}
