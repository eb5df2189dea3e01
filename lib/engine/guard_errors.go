package engine

import "github.com/ansel1/merry/v2"

var (
	// ErrOrderOutstanding means that an order has not ended yet.
	ErrOrderOutstanding = merry.New("an order is outstanding")
	// ErrSuperseded means that the engine took on an order of another agent
	// generation, or one that this guard did not give.
	ErrSuperseded = merry.New("engine follows another agent generation")
	// ErrOrderLost means that the order certainly had no lasting effect: the
	// engine restarted, or never took it on.
	ErrOrderLost = merry.New("order had no effect")
	// ErrOrderFailed means that the engine ran the order and failed.
	ErrOrderFailed = merry.New("order failed")
)
