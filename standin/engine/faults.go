package engine

import "time"

// Faults are injected into the next orders. Counts are decremented by each order that
// they affect.
type Faults struct {
	// DropReplies is the number of orders that run but whose reply is lost.
	DropReplies int
	// CrashLoads is the number of loads during which the engine crashes.
	CrashLoads int
	// FailLoads is the number of loads that fail halfway and reply with the failure.
	FailLoads int
	// DelayOrders delays each order, even if its sender has disconnected.
	DelayOrders time.Duration
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
