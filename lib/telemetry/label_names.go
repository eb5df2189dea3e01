package telemetry

import "sync"

// labelNames is the set of names of one kind that have a label value of their own. A
// declared name is never removed, because its series already exist.
type labelNames struct {
	limit int

	mu       sync.Mutex
	declared map[string]bool
}

func newLabelNames(limit int) *labelNames {
	return &labelNames{limit: limit, declared: make(map[string]bool)}
}

func (n *labelNames) add(names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if !n.declared[name] && len(n.declared) < n.limit {
			n.declared[name] = true
		}
	}
}

func (n *labelNames) label(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.declared[name] {
		return name
	}
	return otherLabel
}
