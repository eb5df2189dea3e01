// Package operatorrpc serves the operators' interface over gRPC.
package operatorrpc

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

const (
	// defaultCallTimeout bounds one call to the store with its further tries.
	defaultCallTimeout = 8 * time.Second
	// defaultHistory is the number of revisions shown when none is asked for.
	defaultHistory = 20

	defaultInterval = 2 * time.Second
	minInterval     = 100 * time.Millisecond
	maxInterval     = time.Minute
)

// Config holds the limits of a Server.
type Config struct {
	CallTimeout time.Duration
	Clock       clock.Clock
	Log         *eventlog.Logger
}

func (c *Config) applyDefaults() {
	if c.CallTimeout == 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
}
