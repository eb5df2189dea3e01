package agent

import (
	"context"

	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// backendServer is the instance's model engine or plain service.
type backendServer interface {
	gate.Backend
	// poll reads the state and load of the backend server periodically until ctx ends.
	poll(ctx context.Context)
	// load returns the last load report with its current age.
	load() wire.Load
}
