package soak

import (
	"context"
	"time"
)

const (
	// orderDelay is longer than agents wait for the response to an order.
	orderDelay = 1300 * time.Millisecond
	// damagedPieces is the number of pieces that are damaged as they are stored.
	damagedPieces = 5
	// corruptionInterval is the time between two corruptions of staged pieces.
	corruptionInterval = 100 * time.Millisecond
)

// disturbLoads performs a step that affects how all engines load weights.
func (t *testbed) disturbLoads(ctx context.Context, s Step) {
	engines := t.backends[:engineCount]
	switch s.Kind {
	case SlowStaging:
		for _, e := range engines {
			e.SetStageTime(s.Duration / time.Duration(weights.Pieces))
			defer e.SetStageTime(0)
		}
		wait(ctx, s.Duration)
	case DelayOrders:
		for _, e := range engines {
			e.SetOrderDelay(orderDelay)
			defer e.SetOrderDelay(0)
		}
		wait(ctx, s.Duration)
	case DamageStagedPieces:
		for _, e := range engines {
			e.DamageStaged(damagedPieces)
			defer e.DamageStaged(0)
		}
		wait(ctx, s.Duration)
	case CorruptPiecesOften:
		for n := range int(s.Duration / corruptionInterval) {
			for i, e := range engines {
				e.CorruptStagedPiece((s.Target + n + i) % weights.Pieces)
			}
			wait(ctx, corruptionInterval)
		}
	}
}
