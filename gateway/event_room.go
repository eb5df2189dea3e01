package gateway

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/memory"
)

// eventRoom is the room for a long event of one server.
type eventRoom struct {
	ctx         context.Context
	budget      *memory.Budget
	server      string
	reservation *memory.Reservation
}

// Acquire implements sse.Room.
func (e *eventRoom) Acquire(bytes int) (err error) {
	e.reservation, err = e.budget.Acquire(e.ctx, e.server, int64(bytes))
	return err
}

// Release implements sse.Room.
func (e *eventRoom) Release() { e.reservation.Release() }
