package backend

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
)

const (
	// defaultStatePollInterval is the maximum time for which a restart of the engine
	// that affects no request stays undetected.
	defaultStatePollInterval   = 500 * time.Millisecond
	defaultMinBackoff          = time.Second
	defaultMaxBackoff          = time.Minute
	defaultPermitRetryInterval = time.Second
	// defaultMaxFailedReads is greater than 1 because a single slow response does not
	// prove that the engine is down.
	defaultMaxFailedReads = 3
	// defaultMaxVerificationAge is longer than one slow read of the state, which
	// precedes each order.
	defaultMaxVerificationAge = 3 * time.Second
)

// Config configures a Machine. Zero values are replaced by defaults.
type Config struct {
	Guard engine.GuardConfig
	// Recorded is the last record that an earlier agent of the instance passed to
	// Host.Record.
	Recorded LoadRecord
	// StatePollInterval is the interval at which the engine's state is read.
	StatePollInterval time.Duration
	// MinBackoff is the wait after the first failed fetch or load. It doubles with each
	// further failure up to MaxBackoff.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// PermitRetryInterval is the wait before a denied permit is requested again if the
	// tracker gave no time.
	PermitRetryInterval time.Duration
	// AdoptAfter is the time for which the engine must report the recorded state before
	// an agent that did not load the weights considers them live. Within that time, the
	// engine may still receive an order of a previous agent.
	AdoptAfter time.Duration
	// MaxVerificationAge is the maximum age of the last verification of the staged files
	// when the engine is ordered to load them.
	MaxVerificationAge time.Duration
	// MaxFailedReads is the number of consecutive failed state reads after which the
	// weights are no longer considered live.
	MaxFailedReads int
}

func (c *Config) applyDefaults() {
	setDefault(&c.StatePollInterval, defaultStatePollInterval)
	setDefault(&c.MinBackoff, defaultMinBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	setDefault(&c.PermitRetryInterval, defaultPermitRetryInterval)
	setDefault(&c.Guard.SettleTime, 3*time.Second)
	setDefault(&c.MaxVerificationAge, defaultMaxVerificationAge)
	setDefault(&c.AdoptAfter, c.Guard.SettleTime)
	if c.MaxFailedReads <= 0 {
		c.MaxFailedReads = defaultMaxFailedReads
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
