package origin

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// defaultBurst is the default of Config.Burst.
	defaultBurst = time.Second
)

// Config configures a Source. A rate of 0 is unlimited.
type Config struct {
	// BytesPerSecond is the rate of bytes above which requests are refused with
	// *backing.ThrottledError.
	BytesPerSecond int64
	// RequestsPerSecond is the rate of requests above which requests are refused with
	// *backing.ThrottledError.
	RequestsPerSecond int64
	// Burst is the burst size of both limits, expressed as a time at the full rate.
	Burst time.Duration
	// LinkBytesPerSecond is the bandwidth of the source's simulated link, which all
	// readers share. Reads above it are delayed instead of refused.
	LinkBytesPerSecond int64
	// Clock is the clock for the limits. It defaults to the system clock.
	Clock clock.Clock
}

func (c *Config) applyDefaults() {
	if c.Burst == 0 {
		c.Burst = defaultBurst
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
}
