package agent

import (
	"context"

	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// backendServer is the engine or plain service of the instance.
type backendServer interface {
	gate.Backend
	// observe follows the state of the backend server until ctx ends.
	observe(ctx context.Context)
	// load returns the last load report.
	load() wire.Load
}
