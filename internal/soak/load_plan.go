package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// loadPlanKinds are the kinds that NewLoadPlan draws from.
var loadPlanKinds = []StepKind{SlowStaging, RestartEntries, RestartAgents, LoseReports, PauseAgent, StoreDown, OriginLink, DeclareVersion}

// NewLoadPlan returns steps for a seed in which engines accept late orders to load pieces
// that have been corrupt for long, since the order arrived, so that the check before the order
// doesn't find them. Half of the kinds of other steps come with that, each once. Loads end within window if it is
// longer than weightsStepDuration by lateOrderDelay and some seconds.
func NewLoadPlan(seed uint64, window time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, 3))
	duration := min(weightsStepDuration, window-firstStepStart)
	steps := []Step{
		{Kind: DeclareVersion, Start: firstStepStart},
		{Kind: DelayOrdersLong, Start: firstStepStart, Duration: duration},
		{Kind: CorruptAfterOrders, Start: firstStepStart, Duration: duration, Target: rng.IntN(64)},
	}
	for _, kind := range loadPlanKinds {
		s := Step{Kind: kind, Target: rng.IntN(64), LinkFault: LinkReset}
		s.Start = firstStepStart + time.Duration(rng.Int64N(int64(window-firstStepStart)/2))
		s.Duration = minStepDuration + time.Duration(rng.Int64N(int64(window-s.Start-minStepDuration)))
		if rng.IntN(2) == 0 {
			steps = append(steps, s)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.Start, b.Start) })
	return steps
}
