package config

import "time"

const (
	// defaultFetchTimeout is the time after which another peer is asked.
	defaultFetchTimeout = time.Second
	// defaultAnnounceEvery is the shortest time between two announcements to
	// one peer, so that a burst of changes costs few messages. The first change
	// after a pause is announced at once.
	defaultAnnounceEvery = time.Second
)

// PeersConfig holds the pace of Peers.
type PeersConfig struct {
	FetchTimeout  time.Duration
	AnnounceEvery time.Duration
}

func (c *PeersConfig) applyDefaults() {
	if c.FetchTimeout == 0 {
		c.FetchTimeout = defaultFetchTimeout
	}
	if c.AnnounceEvery == 0 {
		c.AnnounceEvery = defaultAnnounceEvery
	}
}
