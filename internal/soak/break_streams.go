package soak

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// breakStreams makes all engines break streams off, so that the servers that should
// continue them fail too.
func (t *testbed) breakStreams(ctx context.Context, duration time.Duration) {
	for _, server := range t.backends[:engineCount] {
		server.SetFault(platformtest.FaultBrokenStreams)
	}
	wait(ctx, duration)
	for _, server := range t.backends[:engineCount] {
		server.SetFault(platformtest.FaultNone)
	}
}
