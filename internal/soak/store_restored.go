package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// StoreRestored is a step in which the store goes away for a moment and comes back from a
// copy some seconds old. What the operator and the servers wrote since is written again.
const StoreRestored StepKind = "store-restored"

const (
	// restoredDuration is the time from the copy until what was lost is written again.
	restoredDuration = 5 * time.Second
	// storeAwayTime is the time without a store, rewriteTime that from its return until what was
	// lost is written again.
	storeAwayTime = time.Second
	rewriteTime   = time.Second
)

// newStoreRestoredSteps returns at most two such steps, with configurations that they lose
// and one after them, drawn separately so that the other steps of a seed stay the same. It
// returns none if they do not fit into window.
func newStoreRestoredSteps(seed uint64, window time.Duration) []Step {
	room := window - firstStepStart - restoredDuration
	rng := rand.New(rand.NewPCG(seed, 5))
	if room <= 0 || rng.IntN(3) != 0 {
		return nil
	}
	var steps []Step
	for range 1 + rng.IntN(2) {
		start := firstStepStart + time.Duration(rng.Int64N(int64(room)))
		steps = append(steps, Step{Kind: StoreRestored, Start: start, Duration: restoredDuration})
		for range rng.IntN(4) {
			steps = append(steps, Step{Kind: ChangeConfig, Start: start + time.Duration(rng.Int64N(int64(restoredDuration)))})
		}
		steps = append(steps, Step{Kind: ChangeConfig, Start: min(start+restoredDuration+time.Duration(rng.Int64N(int64(stabilityTime))), window)})
	}
	return steps
}

// restoreStore performs such a step. Steps that overlap restore the store one after another,
// from a copy of the state at the start of each.
func (t *testbed) restoreStore(ctx context.Context, s Step) {
	t.restoreMu.Lock()
	defer t.restoreMu.Unlock()
	earlier := t.store.Copy()
	wait(ctx, s.Duration-storeAwayTime-rewriteTime)
	t.store.FailWith(503)
	wait(ctx, storeAwayTime)
	lost := t.store.RestoreCopy(earlier)
	t.store.FailWith(0)
	wait(ctx, rewriteTime)
	t.store.WriteAgain(lost, earlier, nil)
}
