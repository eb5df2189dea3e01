package engine

import "github.com/ansel1/merry/v2"

var (
	// ErrOrderOutstanding means that the previous order has not ended yet.
	ErrOrderOutstanding = merry.New("previous order is still outstanding")
	// ErrSuperseded means that the engine accepted an order with a higher fence,
	// so another agent generation controls the engine.
	ErrSuperseded = merry.New("superseded by another agent generation")
	// ErrOrderLost means that the order provably has no lasting effect: the
	// engine restarted, never accepted it, or ran an older order after it.
	ErrOrderLost = merry.New("engine order had no lasting effect")
	// ErrOrderFailed means that the engine ran the order and it failed.
	ErrOrderFailed = merry.New("order failed")
)
