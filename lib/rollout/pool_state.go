package rollout

import (
	"math"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Key identifies a group of interchangeable instances.
type Key struct {
	FailureDomain model.FailureDomain
	Pool          string
}

// PoolState is the state of the instances of one pool in one failure domain.
type PoolState struct {
	// Live is the number of instances that currently serve requests, with any
	// version.
	Live int
	// MinLive is the declared number of instances that must keep serving during
	// a rollout.
	MinLive int
	// Running and Queued are the numbers of requests on all live instances.
	Running, Queued int
	// Capacity is the number of requests that all live instances can run at
	// once; 0 if unknown.
	Capacity int
}

// requiredLive returns the number of live instances that the declared minimum
// and the current load require, given the fraction of the capacity that may be
// used.
func (s PoolState) requiredLive(utilization float64) int {
	required := s.MinLive
	if s.Live > 0 && s.Capacity > 0 {
		perInstance := float64(s.Capacity) / float64(s.Live)
		forLoad := float64(s.Running+s.Queued) / (perInstance * utilization)
		required = max(required, int(math.Ceil(forLoad-1e-9)))
	}
	return required
}
