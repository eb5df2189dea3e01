package caller

// ResponseWriter receives the response to one request. It is used by one
// goroutine, which calls Write any number of times and then End once.
type ResponseWriter interface {
	// Write appends data to the response. An error means that the response cannot
	// be continued, usually because the caller has disconnected.
	Write(data []byte) error
	// Buffered reports whether the response is sent only at the end, so that it
	// can be restarted with Reset.
	Buffered() bool
	// Reset discards data of an earlier attempt that has not been sent to the
	// caller.
	Reset()
	// End completes the response with its outcome.
	End(r Result)
}
