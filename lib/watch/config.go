package watch

import "time"

const (
	// ResponseTimeout is the silence after which a source gives a call up, beyond the
	// time that it waits for a change: it allows for a store that answers slowly.
	ResponseTimeout = 1500 * time.Millisecond
	// transferLimit bounds the time of an answer that goes on arriving. A large
	// configuration takes seconds on links that a whole region shares.
	transferLimit = 10 * time.Second
)

// Config holds the timing of a Follower. Zero fields take the defaults.
type Config struct {
	// LongPollTimeout is how long one call waits for a change. It is shortened by up to a
	// third at random, so that the calls of a fleet do not end together.
	LongPollTimeout time.Duration
	// MinBackoff and MaxBackoff bound the pause after a failed call. The store
	// limits calls of all instances together, so that pauses are spread.
	MinBackoff, MaxBackoff time.Duration
}

const (
	// defaultWait trades store calls against the time in which a call that will
	// never be answered is noticed: the store may have been away meanwhile.
	defaultWait       = 3 * time.Second
	defaultMinBackoff = 100 * time.Millisecond
	// defaultMaxBackoff keeps the recovery after an outage well within the time
	// in which a configuration must be in force.
	defaultMaxBackoff = 800 * time.Millisecond
)

func (c Config) applyDefaults() Config {
	set := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&c.LongPollTimeout, defaultWait)
	set(&c.MinBackoff, defaultMinBackoff)
	set(&c.MaxBackoff, defaultMaxBackoff)
	return c
}
