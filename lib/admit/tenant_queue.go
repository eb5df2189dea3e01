package admit

import (
	"github.com/auburnbend/auburnbend/lib/model"
)

// tenantQueue holds the queued requests of one tenant.
type tenantQueue struct {
	flow
	name         model.Tenant
	maxQueued    int
	virtualTime  float64 // virtual time of the classes' flows
	classes      []*classQueue
	classNames   []model.Class
	queued       int
	demand       demand
	serviceRate  rate // measured while the tenant has requests queued
	queuedTokens int  // estimated tokens of the queued requests
}

// class returns the queue of a class, creating it if necessary, and updates its
// priority and weight.
func (t *tenantQueue) class(name model.Class, priority int, weight float64) *classQueue {
	for i, n := range t.classNames {
		if n == name {
			t.classes[i].priority, t.classes[i].weight = priority, weight
			return t.classes[i]
		}
	}
	c := &classQueue{priority: priority, flow: flow{weight: weight}}
	t.classes = append(t.classes, c)
	t.classNames = append(t.classNames, name)
	return c
}

// nextItem returns the class to serve next and its first item, or nil if
// nothing is queued.
func (t *tenantQueue) nextItem() (*classQueue, *item) {
	var best *classQueue
	var first *item
	for _, c := range t.classes {
		head := c.head()
		if head == nil {
			continue
		}
		if best == nil || c.before(best, t.virtualTime) {
			best, first = c, head
		}
	}
	return best, first
}

// before reports whether c is served before other: smaller start tag first,
// then higher priority.
func (c *classQueue) before(other *classQueue, virtual float64) bool {
	a, b := c.startTag(virtual, 0), other.startTag(virtual, 0)
	if a != b {
		return a < b
	}
	return c.priority > other.priority
}
