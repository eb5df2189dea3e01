package attempt

import "time"

const (
	// defaultMaxAttempts bounds the dispatches of one request at one entry.
	defaultMaxAttempts = 4
	// defaultMaxHops bounds the dispatches of one request over all entries.
	defaultMaxHops = 8
	// defaultMaxReattach bounds the reattaches of one attempt.
	defaultMaxReattach = 3
	// defaultNotSeenHorizon is half of the time for which an agent's gate
	// remembers attempt ids. Beyond it, "never seen" may mean "forgotten", for
	// instance after a long pause of this process.
	defaultNotSeenHorizon = 5 * time.Minute
	// defaultRetryAfter is the advice when the refusal gave none.
	defaultRetryAfter = time.Second
)

// Config holds the limits of a Machine. Zero values take defaults.
type Config struct {
	MaxAttempts int
	MaxHops     int
	MaxReattach int
	// NotSeenMaxAge is the age of a dispatch up to which an agent's statement
	// that it never saw the attempt proves that it did not run.
	NotSeenMaxAge time.Duration
	// RetryAfter is the advice to callers when nothing better is known.
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
		c.NotSeenMaxAge = defaultNotSeenHorizon
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = defaultRetryAfter
	}
	return c
}
