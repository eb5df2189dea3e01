package engine

import "time"

// Faults are what goes wrong with the next orders. Counts go down with each
// order that they hit.
type Faults struct {
	// DropReplies is the number of orders that run and whose reply is lost.
	DropReplies int
	// CrashLoads is the number of loads in whose middle the engine crashes.
	CrashLoads int
	// FailLoads is the number of loads that fail halfway with a reply.
	FailLoads int
	// DelayOrders holds each order back, whether or not its sender has gone.
	DelayOrders time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// takeFault uses up one of a count. The caller holds the lock.
func takeFault(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
