package claim

import (
	"context"
	"time"
)

const (
	// defaultRetention applies if the configuration declares no retention.
	defaultRetention = 24 * time.Hour
	// defaultPruneMargin delays the deletion of expired rows, so that all entries
	// regard a row as expired before it is deleted, despite clock differences.
	defaultPruneMargin = 10 * time.Minute
	// defaultMaxTries is the maximum number of tries of one claim, completion or
	// release.
	defaultMaxTries = 3
	// defaultBackoff is the time between two tries.
	defaultBackoff = 100 * time.Millisecond
	// defaultMaxPending is the maximum number of unconfirmed updates of an entry.
	defaultMaxPending = 1024
	// defaultMaxResultBytes limits a stored body: table rows are not meant for
	// large values.
	defaultMaxResultBytes = 256 << 10
	// defaultMaxPendingBytes limits the total size of the bodies of unconfirmed
	// updates.
	defaultMaxPendingBytes = 16 << 20
	// defaultRetryAfter is the retry advice to callers while the store is
	// unavailable.
	defaultRetryAfter = 2 * time.Second
)

// Config holds the parameters of a Ledger. Values that are not positive take
// their defaults.
type Config struct {
	Retention   time.Duration
	PruneMargin time.Duration
	MaxTries    int
	// Backoff waits between two tries. It returns early if ctx ends.
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
		c.MaxTries = defaultMaxTries
	}
	if c.Backoff == nil {
		c.Backoff = backoff
	}
	if c.MaxPending <= 0 {
		c.MaxPending = defaultMaxPending
	}
	if c.MaxPendingBytes <= 0 {
		c.MaxPendingBytes = defaultMaxPendingBytes
	}
	if c.MaxResultBytes <= 0 {
		c.MaxResultBytes = defaultMaxResultBytes
	}
	if c.RetryAfter <= 0 {
		c.RetryAfter = defaultRetryAfter
	}
	return c
}

func backoff(ctx context.Context) {
	timer := time.NewTimer(defaultBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
