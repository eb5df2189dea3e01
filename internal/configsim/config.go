// Package configsim runs the spread of the configuration over a whole
// deployment in simulated time: store, entries, agents, outages and cuts. Tests
// and measurements share it.
package configsim

import "time"

// Config holds the shape of a simulated deployment.
type Config struct {
	// Domains is the number of failure domains.
	Domains int
	// EntriesPerDomain and Agents are numbers per failure domain.
	EntriesPerDomain int
	AgentsPerDomain  int
	// LocalPeers and PeersOutside are the connections that each entry opens to
	// entries of its own and of other domains.
	LocalPeers  int
	RemotePeers int
	// EntriesPerAgent is the number of entries that each agent connects to.
	EntriesPerAgent int
	// Heartbeat is the time between two heartbeats of an idle connection.
	Heartbeat time.Duration
	// StoreLatency is the time of a read from an entry in any domain.
	StoreLatency time.Duration
	// StoreTimeout is the time after which an entry gives up a read.
	StoreTimeout time.Duration
	// Models is the number of declared models, each with a placement in every
	// domain.
	Models int
	// FixedIntervals polls and retries at fixed intervals, as a baseline.
	FixedIntervals bool
	// FullSnapshots sends the whole configuration in place of deltas, as a
	// baseline.
	FullSnapshots bool
	Seed          int64
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
		c.Models = typicalModels
	}
	if c.StoreTimeout == 0 {
		c.StoreTimeout = 2 * time.Second
	}
}
