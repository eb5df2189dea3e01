package platform

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// Config holds the behaviour of all stand-ins of the platform.
type Config struct {
	// OriginLink paces the origin in bytes per second; 0 means unlimited.
	OriginLink int64
	// WeightStoreRate throttles the weight store in bytes per second; 0 means
	// unlimited.
	WeightStoreRate int64
	// InstanceLag is the time after which the instance list shows a change.
	InstanceLag time.Duration
	Clock       clock.Clock
}

func (c *Config) applyDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
}
