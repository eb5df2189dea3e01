package platform

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

// Config configures the stand-ins of a Platform.
type Config struct {
	// OriginLinkRate is the bandwidth of the origin's link in bytes per second; 0 means
	// unlimited.
	OriginLinkRate int64
	// WeightStoreRate is the rate limit of the weight store in bytes per second; 0 means
	// unlimited.
	WeightStoreRate int64
	// InstanceListLag is the time until a change of the instance list becomes visible.
	InstanceListLag time.Duration
	// Clock is the clock of all stand-ins. It defaults to the system clock.
	Clock clock.Clock
}

func (c *Config) applyDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
}
