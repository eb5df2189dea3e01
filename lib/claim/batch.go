package claim

import "github.com/auburnbend/auburnbend/lib/backing"

// batch is a group of writes to different rows that are committed together.
type batch struct {
	writes []backing.Write
	errs   []error
	closed chan struct{} // closed when the batch accepts no more writes
	done   chan struct{} // closed when errs is set
}

func newBatch() *batch {
	return &batch{closed: make(chan struct{}), done: make(chan struct{})}
}

func (b *batch) add(w backing.Write) int {
	b.writes = append(b.writes, w)
	return len(b.writes) - 1
}

// writesSameRow reports whether the batch already has a write to the row of w.
// Batches are small enough for a linear search.
func (b *batch) writesSameRow(w backing.Write) bool {
	for _, other := range b.writes {
		if other.Key == w.Key && other.Table == w.Table {
			return true
		}
	}
	return false
}
