package config

import "time"

const (
	// defaultStartWindow is how long a new replica collects offers before it
	// takes the highest: heartbeats arrive every second.
	defaultStartWindow = 1500 * time.Millisecond
	// startPatience bounds the wait for a reported higher revision that does not
	// arrive, as a multiple of the start window.
	startPatience = 3
	// defaultRetained is the number of revisions kept to send as deltas: at
	// 6,000 changes a day about two hours.
	defaultRetained = 512
	// defaultRetainedBytes bounds the memory of the kept revisions.
	defaultRetainedBytes = 1 << 20
)

// ReplicaConfig holds the limits of a Replica.
type ReplicaConfig struct {
	// StartWindow is the time during which a new replica collects offers.
	StartWindow time.Duration
	// MaxRetained and RetainedBytes bound the revisions kept for others.
	MaxRetained      int
	MaxRetainedBytes int
}

func (c *ReplicaConfig) applyDefaults() {
	if c.StartWindow == 0 {
		c.StartWindow = defaultStartWindow
	}
	if c.MaxRetained == 0 {
		c.MaxRetained = defaultRetained
	}
	if c.MaxRetainedBytes == 0 {
		c.MaxRetainedBytes = defaultRetainedBytes
	}
}
