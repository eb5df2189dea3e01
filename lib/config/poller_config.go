package config

import "time"

const (
	// defaultInterval is the time between two polls in a small deployment.
	defaultInterval = 2 * time.Second
	// defaultReadRate is half of the configuration's read budget, which is a tenth
	// of the store's 2,000 reads/s. The other half is reserved for jitter,
	// starting entries and operators.
	defaultReadRate = 100
	// defaultMaxBackoff lets the only entry of a failure domain learn of changes
	// within 9 s after the store has recovered.
	defaultMaxBackoff = 5 * time.Second
	// defaultJitter shortens or lengthens each wait by up to a quarter.
	defaultJitter = 0.25
)

// PollerConfig configures a Poller. Zero fields get default values.
type PollerConfig struct {
	// Interval is the minimum time between regular polls.
	Interval time.Duration
	// ReadRate is the budget for all live entries together, in reads per second.
	ReadRate float64
	// MaxBackoff limits the wait after failures, unless the regular interval is
	// longer or the failure domain has many entries.
	MaxBackoff time.Duration
	// Jitter is the maximum relative change of each wait, 0 to 1.
	Jitter float64
}

func (c *PollerConfig) applyDefaults() {
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.ReadRate == 0 {
		c.ReadRate = defaultReadRate
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	if c.Jitter == 0 {
		c.Jitter = defaultJitter
	}
}
