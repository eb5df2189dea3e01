package rollout

import (
	"math"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Key names the instances that stand in for each other.
type Key struct {
	FailureDomain model.FailureDomain
	Pool          string
}

// PoolState is what is known about the instances of a Key.
type PoolState struct {
	// Live is the number of instances that serve requests now, of any version.
	Live int
	// MinLive is the declared number that keeps serving during a rollout.
	MinLive int
	// Running and Queued are the requests of all live instances.
	Running, Queued int
	// Capacity is the number of requests that all live instances run at once;
	// 0 when unknown.
	Capacity int
}

// needed returns the number of live instances that the declared minimum and
// the current load require.
func (g PoolState) needed(utilization float64) int {
	n := g.MinLive
	if g.Live > 0 && g.Capacity > 0 {
		perInstance := float64(g.Capacity) / float64(g.Live)
		load := float64(g.Running+g.Queued) / (perInstance * utilization)
		n = max(n, int(math.Ceil(load-1e-9)))
	}
	return n
}
