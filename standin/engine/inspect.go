package engine

import (
	"slices"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// SetStalled makes the engine accept requests without any progress, or go on.
func (s *Server) SetStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
}

func (s *Server) isStalled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stalled
}

// State returns what the engine reports about itself.
func (s *Server) State() api.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.State{
		Incarnation: s.incarnation, Weights: s.weights, Role: s.role,
		Accepted: s.accepted, Busy: s.orders > 0, Failure: s.failure,
	}
}

// LoadedDigest returns the digest over what is in memory, which answers carry.
func (s *Server) LoadedDigest() model.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content()
}

func (s *Server) content() model.Digest { return ContentDigest(s.memory...) }

// RunCount returns how often a request id started to run, over all incarnations.
func (s *Server) RunCount(id model.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// AcceptedOrders returns the orders that were accepted, over all incarnations.
func (s *Server) AcceptedOrders() []api.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.given)
}

// OrderStats returns the largest number of orders that ran at once and the
// number of orders that ran with an old fencing number.
func (s *Server) OrderStats() (atOnce, outdated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxOrders, s.ignored
}

func (s *Server) snapshot() api.CacheSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.CacheSnapshot{
		Incarnation: s.incarnation, Sequence: s.cache.sequence, Weights: s.weights, Prefixes: slices.Clone(s.cache.prefixes),
	}
}

// CacheStats returns how many requests found their prefix cached when they
// started to run, and how many did not.
func (s *Server) CacheStats() (hits, misses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.hits, s.cache.misses
}
