package config

import "time"

const (
	// defaultFetchTimeout is how long to wait for an answer before fetching from
	// another peer.
	defaultFetchTimeout = time.Second
	// defaultAnnounceInterval limits the messages that a burst of changes
	// causes. The first change after a quiet period is announced immediately.
	defaultAnnounceInterval = time.Second
	// defaultLeafInterval adds to the time that a change takes to spread among
	// entries; both together must stay within 9 s.
	defaultLeafInterval = 2 * time.Second
)

// PeersConfig configures Peers. Zero fields get default values.
type PeersConfig struct {
	// FetchTimeout is how long a fetch may stay unanswered before another one is
	// sent.
	FetchTimeout time.Duration
	// AnnounceInterval is the minimum time between two announcements to the same
	// peer.
	AnnounceInterval time.Duration
	// LeafInterval is the minimum time between two announcements, and between a
	// fetch that was answered and the next one, over leaf connections. The first
	// one after a longer pause is sent immediately.
	LeafInterval time.Duration
}

func (c *PeersConfig) applyDefaults() {
	if c.FetchTimeout == 0 {
		c.FetchTimeout = defaultFetchTimeout
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = defaultAnnounceInterval
	}
	if c.LeafInterval == 0 {
		c.LeafInterval = defaultLeafInterval
	}
}
