// Package configsim simulates the propagation of configuration revisions through
// a whole deployment: store, entries, agents, store outages and network
// partitions. Time is simulated. Tests and measurements share it.
package configsim

import "time"

// Config describes a simulated deployment. Zero values select defaults, except
// for the numbers of domains, entries and agents.
type Config struct {
	// Domains is the number of failure domains.
	Domains          int
	EntriesPerDomain int
	AgentsPerDomain  int
	// LocalPeers and RemotePeers are the numbers of connections that each entry
	// opens to entries of its own failure domain and of other domains.
	LocalPeers  int
	RemotePeers int
	// EntriesPerAgent is the number of entries that each agent connects to.
	EntriesPerAgent int
	// Heartbeat is the interval of heartbeats on a connection.
	Heartbeat time.Duration
	// StoreLatency is the duration of a read from the store.
	StoreLatency time.Duration
	// StoreTimeout is the time after which an entry abandons a read.
	StoreTimeout time.Duration
	// Models is the number of declared models, each with a placement in every
	// domain.
	Models int
	// FixedIntervals makes entries poll and retry the store at fixed intervals, as
	// a baseline.
	FixedIntervals bool
	// FullSnapshots makes nodes send all revisions instead of the missing ones,
	// as a baseline.
	FullSnapshots bool
	// Seed seeds all random choices of the simulation.
	Seed int64
}

func (c *Config) applyDefaults() {
	if c.LocalPeers == 0 {
		c.LocalPeers = 2
	}
	if c.RemotePeers == 0 {
		c.RemotePeers = 1
	}
	if c.EntriesPerAgent == 0 {
		c.EntriesPerAgent = 3
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = 3 * time.Second
	}
	if c.StoreLatency == 0 {
		c.StoreLatency = 5 * time.Millisecond
	}
	if c.Models == 0 {
		c.Models = defaultModels
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = 2 * time.Second
	}
}
