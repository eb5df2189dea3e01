package config

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/clock"
)

const (
	// defaultMaxRetries is the number of retries after a lost reply or a stale
	// read.
	defaultMaxRetries = 5
	// defaultRetryDelay is the delay before the first retry.
	defaultRetryDelay = 50 * time.Millisecond
	// defaultOperationRetention is how long operation IDs are kept.
	defaultOperationRetention = 24 * time.Hour
)

// StoreConfig configures a Store. Zero fields get default values.
type StoreConfig struct {
	// MaxRetries is the maximum number of retries within one call.
	MaxRetries int
	// RetryDelay is the delay before the first retry. It doubles with each retry.
	RetryDelay time.Duration
	// OperationRetention is the age at which Prune deletes operation IDs.
	OperationRetention time.Duration
	// Clock provides the time of acceptance of revisions.
	Clock clock.Clock
	// Sleep waits between retries until d has passed or ctx ends. Tests replace
	// it.
	Sleep func(ctx context.Context, d time.Duration) error
}

func (c *StoreConfig) applyDefaults() {
	if c.MaxRetries == 0 {
		c.MaxRetries = defaultMaxRetries
	}
	if c.RetryDelay == 0 {
		c.RetryDelay = defaultRetryDelay
	}
	if c.OperationRetention == 0 {
		c.OperationRetention = defaultOperationRetention
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Sleep == nil {
		c.Sleep = sleepContext
	}
}

// sleepContext waits for d. It returns the error of ctx if that ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
