// Package operatorrpc serves the operators' interface over gRPC.
package operatorrpc

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

const (
	// defaultCallTimeout limits one call of the store including its retries.
	defaultCallTimeout = 8 * time.Second
	// defaultHistoryLimit is the number of revisions that History returns if the request has
	// no limit.
	defaultHistoryLimit = 20

	// defaultInterval, minInterval and maxInterval apply to the time between two
	// messages of RolloutStatus.
	defaultInterval = 2 * time.Second
	minInterval     = 100 * time.Millisecond
	maxInterval     = time.Minute
)

// Config configures a Server. Zero values are replaced by defaults.
type Config struct {
	// CallTimeout limits one call of the store including its retries.
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
