package config

import "time"

const (
	// defaultInterval is the time between two polls of a small deployment.
	defaultInterval = 2 * time.Second
	// defaultReadRate is the reads per second that all entries together use at
	// rest. It is half of a tenth of the store's 2,000 reads/s; the other half
	// is for jitter, starting entries and operators.
	defaultReadRate = 100
	// defaultMaxBackoff bounds the wait of the only entry of a domain after
	// failures, so that it learns of changes within 9 s of the store's return.
	defaultMaxBackoff = 5 * time.Second
	// defaultJitter is the share by which a wait is shortened or lengthened.
	defaultJitter = 0.25
)

// PollerConfig holds the pace of a Poller.
type PollerConfig struct {
	Interval time.Duration
	// ReadRate is the budget of reads per second of all live entries together.
	ReadRate float64
	// MaxBackoff bounds the wait after failures, unless the regular wait is
	// longer or the domain has many entries.
	MaxBackoff time.Duration
	// Jitter is between 0 and 1.
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
