package config

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// defaultRetries is the number of further tries after a lost reply or a
	// stale read.
	defaultRetries = 5
	// defaultPause is the wait before the first further try; it doubles.
	defaultPause = 50 * time.Millisecond
	// defaultOperationRetention is how long operation ids are kept.
	defaultOperationRetention = 24 * time.Hour
)

// StoreConfig holds the limits of a Store.
type StoreConfig struct {
	// MaxRetries is the number of further tries within one call.
	MaxRetries int
	// RetryDelay is the wait before the first further try; it doubles each time.
	RetryDelay time.Duration
	// OperationRetention is the age at which Prune drops operation ids.
	OperationRetention time.Duration
	// Clock dates accepted revisions.
	Clock clock.Clock
	// Sleep pauses between tries. Tests replace it.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (c *StoreConfig) applyDefaults() {
	if c.MaxRetries == 0 {
		c.MaxRetries = defaultRetries
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultPause
	}
	if c.OperationRetention == 0 {
		c.OperationRetention = defaultOperationRetention
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Sleep == nil {
		c.Sleep = waitTimer
	}
}

func waitTimer(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
