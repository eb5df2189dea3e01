package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// orderDelay is longer than agents wait for the response to an order.
	orderDelay = 1300 * time.Millisecond
	// lateOrderDelay is longer than corruptionGrace: pieces that are corrupt when the order
	// arrives must not be served.
	lateOrderDelay = 4 * time.Second
	// orderPollInterval is the time between two looks for orders that have arrived.
	orderPollInterval = 2 * time.Millisecond
	// restartInterval is the time between two restarts of processes of one kind.
	restartInterval = 500 * time.Millisecond
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
	case DelayOrdersLong:
		for _, e := range engines {
			e.SetOrderDelay(lateOrderDelay)
			defer e.SetOrderDelay(0)
		}
		wait(ctx, s.Duration)
	case CorruptAfterOrders:
		t.corruptAfterOrders(ctx, engines, s)
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

// restart kills the processes in turn. They are started again.
func (t *testbed) restart(ctx context.Context, processes []*process, s Step) {
	for n := range int(s.Duration / restartInterval) {
		pick(processes, s.Target+n).signal(syscall.SIGKILL)
		wait(ctx, restartInterval)
	}
}

// loseReports makes the agents' datagrams to some of the entries, or to all, get lost.
func (t *testbed) loseReports(ctx context.Context, s Step) {
	for i, e := range t.entries {
		if s.Target%(1<<len(t.entries))&(1<<i) != 0 {
			continue
		}
		for _, l := range t.reportLinks {
			l.Lose(e.ip, true)
			defer l.Lose(e.ip, false)
		}
	}
	wait(ctx, s.Duration)
}

// corruptAfterOrders corrupts a staged piece of an engine whenever an order has arrived there.
func (t *testbed) corruptAfterOrders(ctx context.Context, engines []*platformtest.Backend, s Step) {
	received := make([]int, len(engines))
	for i, e := range engines {
		received[i] = e.OrdersReceived()
	}
	for end := time.Now().Add(s.Duration); ctx.Err() == nil && time.Now().Before(end); {
		for i, e := range engines {
			if n := e.OrdersReceived(); n > received[i] {
				received[i] = n
				e.CorruptStagedPiece((s.Target + n + i) % weights.Pieces)
			}
		}
		wait(ctx, orderPollInterval)
	}
}
