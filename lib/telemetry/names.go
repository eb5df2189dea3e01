package telemetry

import "sync"

// names decides which names of one kind get a label of their own. A name that
// was declared once keeps its label, because its series exist already.
type names struct {
	limit int

	mu   sync.Mutex
	seen map[string]bool
}

func newNames(limit int) *names { return &names{limit: limit, seen: make(map[string]bool)} }

func (n *names) declare(all []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range all {
		if !n.seen[name] && len(n.seen) < n.limit {
			n.seen[name] = true
		}
	}
}

func (n *names) label(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] {
		return name
	}
	return otherName
}
