package claim

import "github.com/auburnbend/auburnbend/lib/backing"

// batch is one group of writes of different rows.
type batch struct {
	writes []backing.Write
	errs   []error
	closed chan struct{} // closed when no further write joins
	done   chan struct{} // closed when errs is set
}

func newBatch() *batch {
	return &batch{closed: make(chan struct{}), done: make(chan struct{})}
}

func (g *batch) add(w backing.Write) int {
	g.writes = append(g.writes, w)
	return len(g.writes) - 1
}

// has reports whether the group writes the same row. Groups are small.
func (g *batch) has(w backing.Write) bool {
	for _, other := range g.writes {
		if other.Key == w.Key && other.Table == w.Table {
			return true
		}
	}
	return false
}
