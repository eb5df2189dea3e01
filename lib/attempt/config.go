package attempt

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// defaultMaxAttempts is the maximum number of dispatches of a request at one
	// entry.
	defaultMaxAttempts = 4
	// defaultMaxHops is the maximum number of dispatches of a request over all
	// entries.
	defaultMaxHops = 8
	// defaultMaxReattach is the maximum number of reattaches of an attempt.
	defaultMaxReattach = 3
	// defaultNotSeenMaxAge is half of the time for which an agent's gate
	// remembers attempt IDs. For older dispatches, "never seen" may mean
	// "forgotten", for example after a long pause of this process.
	defaultNotSeenMaxAge = 5 * time.Minute
	// defaultRetryAfter is the advice to callers when the refusal contains none.
	defaultRetryAfter = time.Second
)

// Config holds the limits of a Machine. Values that are not positive take their
// defaults.
type Config struct {
	MaxAttempts int
	MaxHops     int
	MaxReattach int
	// NotSeenMaxAge is the maximum age of a dispatch at which an agent's reply
	// that it never saw the attempt proves that the attempt did not run.
	NotSeenMaxAge time.Duration
	// BootClock also counts suspensions of the machine, during which agents forget
	// attempts. nil takes clock.Boot.
	BootClock clock.Clock
	// RetryAfter is the default retry advice to callers.
	RetryAfter time.Duration
}

func (c Config) applyDefaults() Config {
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	if c.MaxHops <= 0 {
		c.MaxHops = defaultMaxHops
	}
	if c.MaxReattach <= 0 {
		c.MaxReattach = defaultMaxReattach
	}
	if c.NotSeenMaxAge <= 0 {
		c.NotSeenMaxAge = defaultNotSeenMaxAge
	}
	if c.BootClock == nil {
		c.BootClock = clock.Boot{}
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = defaultRetryAfter
	}
	return c
}
