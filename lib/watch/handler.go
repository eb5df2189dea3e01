package watch

// Handler takes what a Follower learns. Its methods are called by one goroutine.
type Handler interface {
	// Replace takes a full read. recovered tells that it ends an outage, in
	// which rows may have lapsed without their owners being gone.
	Replace(rows Rows, recovered bool)
	// Apply takes changes in order. recovered is as for Replace.
	Apply(rows Rows, recovered bool)
	// Lost reports that the store stopped answering.
	Lost(err error)
}
