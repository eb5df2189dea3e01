package engine

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// OrderClient is the subset of Client needed to execute orders.
type OrderClient interface {
	State(ctx context.Context) (State, error)
	Order(ctx context.Context, o Order) (Reply, error)
}

// RunOrder submits an order and waits for its result. If ctx ends first, an order
// that was not sent is withdrawn; an order that was sent remains outstanding in the
// guard, and the next RunOrder resolves it before it submits its own.
func RunOrder(ctx context.Context, c clock.Clock, api OrderClient, g *Guard, order Order) (Result, error) {
	if g.Outstanding() {
		if _, err := ResolveOrder(ctx, c, api, g); err != nil {
			return Result{}, err
		}
	}
	if err := g.Submit(order); err != nil {
		return Result{}, err
	}
	return ResolveOrder(ctx, c, api, g)
}

// ResolveOrder executes steps until the result of the outstanding order is known or
// ctx ends.
func ResolveOrder(ctx context.Context, c clock.Clock, api OrderClient, g *Guard) (Result, error) {
	for {
		switch step := g.Next(c.Now()); step.Kind {
		case StepReadState:
			s, err := api.State(ctx)
			g.OnState(c.Now(), s, err)
		case StepSend:
			r, err := api.Order(ctx, step.Order)
			g.OnReply(c.Now(), r, err)
		case StepWait:
			_ = sleep(ctx, step.Until.Sub(c.Now()))
		case StepDone:
			return step.Result, nil
		case StepIdle:
			return Result{}, ctx.Err()
		}
		if err := ctx.Err(); err != nil && g.phase != phaseDone {
			g.Withdraw()
			return Result{}, err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
