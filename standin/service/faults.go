package service

import "time"

// Faults are injected into the next calls. Counts are decremented by each call that they
// affect. A call is affected by the first field with a positive count, and by Delay.
type Faults struct {
	// Refuse is the number of calls refused with status 503 and Retry-After, without
	// running.
	Refuse int
	// Fail is the number of calls that run and then reply with status 500.
	Fail int
	// DropReply is the number of calls that run and then close the connection without a
	// reply.
	DropReply int
	// TruncateReply is the number of calls that run and then close the connection halfway
	// through the body of the reply.
	TruncateReply int
	// RawReply is sent as it is by each call that runs, before the connection is closed; empty
	// disables this.
	RawReply string
	// Delay is added to the duration of each call that runs.
	Delay time.Duration
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// consumeFault decrements count and reports whether it was positive. The caller must
// hold the server's lock.
func consumeFault(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
