package origin

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// defaultBurst is how long a rate-limited source can be read at any speed
	// before it throttles, as a share of its rate.
	defaultBurst = time.Second
)

// Config holds the limits of a source.
type Config struct {
	// BytesPerSecond throttles reads with a retry time; 0 means unlimited.
	BytesPerSecond int64
	// RequestsPerSecond throttles requests with a retry time; 0 means unlimited.
	RequestsPerSecond int64
	// Burst is the time over which both limits may be used in advance.
	Burst time.Duration
	// LinkBytesPerSecond paces the bytes of all readers together, like the link
	// of the source; 0 means unlimited.
	LinkBytesPerSecond int64
	// Clock is used for the limits.
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
