package claim

import (
	"context"
	"time"
)

const (
	// defaultRetention is the declared retention when none is declared.
	defaultRetention = 24 * time.Hour
	// defaultPruneMargin delays the deletion of expired rows, so that entries
	// whose clocks differ agree that a row has expired before it is gone.
	defaultPruneMargin = 10 * time.Minute
	// defaultTries bounds the writes of one claim while replies are lost.
	defaultTries = 3
	// defaultPause is the pause between tries.
	defaultPause = 100 * time.Millisecond
	// defaultMaxPending bounds the unconfirmed updates that an entry keeps.
	defaultMaxPending = 1024
	// defaultMaxResult bounds a stored body in bytes: a table row is no place for
	// large answers.
	defaultMaxResult = 256 << 10
	// defaultMaxPendingBytes bounds the bodies among the unconfirmed updates.
	defaultMaxPendingBytes = 16 << 20
	// defaultRetryAfter is the advice to callers while the store is down.
	defaultRetryAfter = 2 * time.Second
)

// Config holds the limits of a Ledger. Zero values take defaults.
type Config struct {
	Retention   time.Duration
	PruneMargin time.Duration
	MaxTries    int
	// Backoff waits between tries. It returns early when ctx ends.
	Backoff         func(ctx context.Context)
	MaxPending      int
	MaxPendingBytes int
	MaxResultBytes  int
	RetryAfter      time.Duration
}

func (c Config) applyDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	if c.PruneMargin <= 0 {
		c.PruneMargin = defaultPruneMargin
	}
	if c.MaxTries <= 0 {
		c.MaxTries = defaultTries
	}
	if c.Backoff == nil {
		c.Backoff = pause
	}
	if c.MaxPending <= 0 {
		c.MaxPending = defaultMaxPending
	}
	if c.MaxPendingBytes <= 0 {
		c.MaxPendingBytes = defaultMaxPendingBytes
	}
	if c.MaxResultBytes <= 0 {
		c.MaxResultBytes = defaultMaxResult
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = defaultRetryAfter
	}
	return c
}

func pause(ctx context.Context) {
	timer := time.NewTimer(defaultPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
