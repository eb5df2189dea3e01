package service

import "time"

// Faults are what goes wrong with the next calls. Counts go down with each
// call that they hit, in the order of the fields.
type Faults struct {
	// Refuse answers 503 with Retry-After before the call runs.
	Refuse int
	// Fail answers 500 after the call ran.
	Fail int
	// DropReply closes the connection after the call ran.
	DropReply int
	// CutReply closes the connection in the middle of the reply.
	CutReply int
	// Delay is added to each call.
	Delay time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func take(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
