package config

import "time"

const (
	// defaultStartWindow leaves time for heartbeats, which arrive every second
	// and report the heads of the peers.
	defaultStartWindow = 1500 * time.Millisecond
	// maxStartWindows limits the wait for a reported higher revision that does
	// not arrive, as a multiple of the start window.
	maxStartWindows = 3
	// defaultMaxRetained covers about two hours at 6,000 changes per day.
	defaultMaxRetained = 512
	// defaultMaxRetainedBytes limits the memory for retained revisions.
	defaultMaxRetainedBytes = 1 << 20
)

// ReplicaConfig configures a Replica. Zero fields get default values.
type ReplicaConfig struct {
	// StartWindow is how long a new replica collects revisions before it puts the
	// highest one in force.
	StartWindow time.Duration
	// MaxRetained and MaxRetainedBytes limit the revisions kept to send to other
	// processes as deltas.
	MaxRetained      int
	MaxRetainedBytes int
}

func (c *ReplicaConfig) applyDefaults() {
	if c.StartWindow == 0 {
		c.StartWindow = defaultStartWindow
	}
	if c.MaxRetained == 0 {
		c.MaxRetained = defaultMaxRetained
	}
	if c.MaxRetainedBytes == 0 {
		c.MaxRetainedBytes = defaultMaxRetainedBytes
	}
}
