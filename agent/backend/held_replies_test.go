package backend_test

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/engine"
)

// heldReplies is a client of an engine whose replies to changes of role don't arrive before
// the agent ends.
type heldReplies struct{ engine.OrderClient }

func (c heldReplies) Order(ctx context.Context, o engine.Order) (engine.Reply, error) {
	r, err := c.OrderClient.Order(ctx, o)
	if o.Kind == engine.OrderRole {
		<-ctx.Done()
		return engine.Reply{}, ctx.Err()
	}
	return r, err
}
