package engine

import (
	"maps"
	"slices"

	api "github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
)

// SetStalled stalls or resumes the engine. A stalled engine accepts connections but
// makes no progress.
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

// State returns the state that the engine reports.
func (s *Server) State() api.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.State{
		Incarnation: s.incarnation, Weights: s.weights, Role: s.role,
		Accepted: s.accepted, Busy: s.runningOrders > 0, Failure: s.failure,
	}
}

// LoadedDigest returns the digest over the loaded files, which responses contain.
func (s *Server) LoadedDigest() model.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadedDigest()
}

// LoadedFiles returns the digests of the files that were loaded since the last load
// began, in load order.
func (s *Server) LoadedFiles() []model.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.loaded)
}

func (s *Server) loadedDigest() model.Digest { return ContentDigest(s.loaded...) }

// RunCount returns how often a request started to run, over all incarnations.
func (s *Server) RunCount(id model.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ContentRuns returns how many requests started to run on each loaded content, which is
// identified by the digest that responses contain, over all incarnations.
func (s *Server) ContentRuns() map[model.Digest]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.contentRuns)
}

// AcceptedOrders returns all accepted orders, over all incarnations.
func (s *Server) AcceptedOrders() []api.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.acceptedOrders)
}

// OrderStats returns the maximum number of orders that ran concurrently and the number
// of orders that ran with an outdated fencing number.
func (s *Server) OrderStats() (maxConcurrent, outdated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxConcurrentOrders, s.outdatedOrders
}

func (s *Server) snapshot() api.CacheSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return api.CacheSnapshot{
		Incarnation: s.incarnation, Sequence: s.cache.sequence, Weights: s.weights, Prefixes: slices.Clone(s.cache.prefixes),
	}
}

// CacheStats returns the numbers of requests whose prefix was cached and not cached when
// they started to run.
func (s *Server) CacheStats() (hits, misses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.hits, s.cache.misses
}
