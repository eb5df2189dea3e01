package config

import "time"

const (
	// defaultFetchTimeout is the time after which another peer is asked.
	defaultFetchTimeout = time.Second
	// defaultAnnounceEvery is the shortest time between two announcements to
	// one peer, so that a burst of changes costs few messages. The first change
	// after a pause is announced at once.
	defaultAnnounceEvery = time.Second
	// defaultLeafPause is the shortest time between two announcements to one
	// agent and between two of its fetches. It adds to the time that a change
	// takes among entries; both together have to stay within 9 s.
	defaultLeafPause = 2 * time.Second
)

// PeersConfig holds the pace of Peers.
type PeersConfig struct {
	FetchTimeout     time.Duration
	AnnounceInterval time.Duration
	// LeafInterval is the shortest time between two announcements and between two
	// answered fetches over leaf connections; the first after a longer pause is
	// sent at once.
	LeafInterval time.Duration
}

func (c *PeersConfig) applyDefaults() {
	if c.FetchTimeout == 0 {
		c.FetchTimeout = defaultFetchTimeout
	}
	if c.AnnounceInterval == 0 {
		c.AnnounceInterval = defaultAnnounceEvery
	}
	if c.LeafInterval == 0 {
		c.LeafInterval = defaultLeafPause
	}
}
