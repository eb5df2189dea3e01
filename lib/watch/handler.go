package watch

// Handler receives what a Watcher reads. Its methods are called by one
// goroutine.
type Handler interface {
	// Replace receives the whole table. recovered means that the read ends an
	// outage, during which rows may have expired although their owners are alive.
	Replace(rows Rows, recovered bool)
	// Apply receives changes in order. recovered is as for Replace.
	Apply(rows Rows, recovered bool)
	// Lost reports that the store stopped answering.
	Lost(err error)
}
