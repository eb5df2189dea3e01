package caller

// ResponseWriter receives the answer to one request. Its methods are called by one
// goroutine: Write any number of times, then End once.
type ResponseWriter interface {
	// Write passes on a piece of the answer. An error means that the caller has
	// gone.
	Write(data []byte) error
	// Buffered reports whether pieces reach the caller only at the end, so that
	// an answer can be started again.
	Buffered() bool
	// Reset drops the pieces of an earlier attempt that have not reached the
	// caller.
	Reset()
	// End closes the answer with its outcome.
	End(r Result)
}
