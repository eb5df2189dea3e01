package subset

const (
	// DefaultMaxPerEntry is the maximum number of connections of an entry. With a
	// 60-byte heartbeat per second in both directions, 60 connections cost 7.2
	// KB/s, below the control budget of 8 KB/s.
	DefaultMaxPerEntry = 60
	// DefaultMinPerAgent is the minimum number of entries that connect to an
	// agent: if two are lost at once, the agent still gets work.
	DefaultMinPerAgent = 3
	// DefaultMinPerPool is the minimum number of agents of each pool that an
	// entry connects to, so that one remains if the other is lost.
	DefaultMinPerPool = 2
	// DefaultSpillConnections is the maximum number of connections of an entry to
	// other failure domains.
	DefaultSpillConnections = 8
)

// Config holds the limits of the assignment. Zero fields take their defaults.
type Config struct {
	// MaxPerEntry is the maximum number of connections of an entry. It is
	// exceeded if there are too few entries to meet MinPerAgent otherwise.
	MaxPerEntry int
	// MinPerAgent is the minimum number of entries per agent.
	MinPerAgent int
	// MinPerPool is the minimum number of agents of each pool per entry, as far
	// as MaxPerEntry allows. An entry always gets one agent of each pool.
	MinPerPool int
	// SpillConnections is the maximum number of connections of an entry to other
	// failure domains.
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
