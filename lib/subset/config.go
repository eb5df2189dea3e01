package subset

const (
	// DefaultMaxPerEntry bounds an entry's connections. With a 60-byte heartbeat
	// in both directions each second it costs 7.2 KB/s, under the budget of
	// 8 KB/s for control.
	DefaultMaxPerEntry = 60
	// DefaultMinPerAgent is the number of entries that reach an agent: two may
	// be lost at once and it still gets work.
	DefaultMinPerAgent = 3
	// DefaultMinPerPool is the number of agents of each pool that an entry
	// reaches, so that the loss of one leaves another.
	DefaultMinPerPool = 2
	// DefaultSpillConnections bounds an entry's connections into other failure
	// domains.
	DefaultSpillConnections = 8
)

// Config holds the bounds of the assignment. Zero fields take the defaults.
type Config struct {
	// MaxPerEntry bounds the connections of an entry. It gives way where
	// MinPerAgent could not be kept: with too few entries for the agents.
	MaxPerEntry int
	// MinPerAgent is the least number of entries per agent.
	MinPerAgent int
	// MinPerPool is the number of agents of each pool that an entry gets at
	// least where MaxPerEntry allows it. It gets one in any case.
	MinPerPool int
	// SpillConnections bounds the connections to other failure domains.
	SpillConnections int
}

func (c *Config) applyDefaults() {
	if c.MaxPerEntry <= 0 {
		c.MaxPerEntry = DefaultMaxPerEntry
	}
	if c.MinPerAgent <= 0 {
		c.MinPerAgent = DefaultMinPerAgent
	}
	if c.MinPerPool <= 0 {
		c.MinPerPool = DefaultMinPerPool
	}
	if c.SpillConnections <= 0 {
		c.SpillConnections = DefaultSpillConnections
	}
}
