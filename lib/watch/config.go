package watch

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// ResponseTimeout is the time without received data after which a source gives
	// up a call, in addition to the long-poll timeout. It allows for a slow store.
	ResponseTimeout = 1500 * time.Millisecond
	// transferTimeout bounds the time in which a response may keep arriving. A
	// large configuration takes seconds on links that a whole region shares.
	transferTimeout = 10 * time.Second
)

// Config holds the timing of a Watcher. Zero fields take their defaults.
type Config struct {
	// LongPollTimeout is how long one call waits for a change. It is shortened by
	// up to a third at random, so that the calls of a fleet don't end together.
	LongPollTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed call. Delays are
	// randomized, because the store limits the total call rate of all instances.
	MinBackoff, MaxBackoff time.Duration
	// MaxReplay is set for a table of which only the newest row of each key counts. It is the
	// longest time without an answer after which the changes of that time are read. After a
	// longer one the table is read in full, as all earlier rows would come first; so it is
	// after full answers that consist for the most part of rows which later ones replace. Of
	// an answer, only the newest row of each key is delivered. Zero means that all changes
	// are read and delivered: those of rows whose deletion tells more than their absence.
	MaxReplay time.Duration
	// RestoreSettle is the time after a restore of the store within which its users write
	// again what it has lost. Full reads until then are marked as Restored. Then the table
	// is read once more, which shows what was not written again. Zero means that only the
	// first full read is marked.
	RestoreSettle time.Duration
	// OnRestored, if set, is called when the table of a restored store is delivered. OnStale,
	// if set, is called at the first of successive answers that are older than an earlier one.
	OnRestored, OnStale func(known, answered Position)
	// Clock is the system clock by default.
	Clock clock.Clock
}

const (
	// defaultLongPollTimeout balances the rate of store calls against the time to
	// notice a call that will never be answered, during which the store may have
	// been down.
	defaultLongPollTimeout = 3 * time.Second
	defaultMinBackoff      = 100 * time.Millisecond
	// defaultMaxBackoff keeps the recovery after an outage well within the time in
	// which a configuration must be in force.
	defaultMaxBackoff = 800 * time.Millisecond
)

func (c Config) applyDefaults() Config {
	set := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	set(&c.LongPollTimeout, defaultLongPollTimeout)
	set(&c.MinBackoff, defaultMinBackoff)
	set(&c.MaxBackoff, defaultMaxBackoff)
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}
