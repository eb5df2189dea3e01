package engine

import "github.com/ansel1/merry/v2"

var (
	// ErrOrderOutstanding means that an order has not ended yet.
	ErrOrderOutstanding = merry.New("an order is outstanding")
	// ErrSuperseded means that the engine took on an order with a higher
	// number: another agent generation has taken the engine over.
	ErrSuperseded = merry.New("engine follows another agent generation")
	// ErrOrderLost means that the order certainly has no lasting effect: the
	// engine restarted, never took it on, or ran an older order after it.
	ErrOrderLost = merry.New("order had no effect")
	// ErrOrderFailed means that the engine ran the order and failed.
	ErrOrderFailed = merry.New("order failed")
)
