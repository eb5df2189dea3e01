package backend

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
)

const (
	// defaultWatch is the interval between two reads of the engine's state.
	// Half a second is the longest time for which a restart goes unnoticed
	// when no request runs into it.
	defaultWatch = 500 * time.Millisecond
	// defaultRetry is the first wait after a failed fetch or load.
	defaultRetry = time.Second
	// defaultMaxRetry bounds the wait, which doubles with each failure.
	defaultMaxRetry = time.Minute
	// defaultPermitRetry is the wait for a permit whose answer named no time.
	defaultPermitRetry = time.Second
	// defaultMissed is the number of state reads that may fail in a row before
	// the weights count as not live. A single slow answer proves nothing.
	defaultMissed = 3
)

// Config holds the settings of a Machine.
type Config struct {
	Guard               engine.GuardConfig
	StatePollInterval   time.Duration
	MinBackoff          time.Duration
	MaxBackoff          time.Duration
	PermitRetryInterval time.Duration
	// AdoptAfter is how long the engine must report the same weights before an
	// agent that did not load them counts them as live. An order of an earlier
	// agent may still be unread within that time.
	AdoptAfter time.Duration
	// MaxFailedReads is the number of failed state reads in a row that end live.
	MaxFailedReads int
}

func (c *Config) applyDefaults() {
	defaultTo(&c.StatePollInterval, defaultWatch)
	defaultTo(&c.MinBackoff, defaultRetry)
	defaultTo(&c.MaxBackoff, defaultMaxRetry)
	defaultTo(&c.PermitRetryInterval, defaultPermitRetry)
	defaultTo(&c.Guard.SettleTime, 3*time.Second)
	defaultTo(&c.AdoptAfter, c.Guard.SettleTime)
	if c.MaxFailedReads <= 0 {
		c.MaxFailedReads = defaultMissed
	}
}

func defaultTo(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
