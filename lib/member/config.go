package member

import "time"

const (
	// BusyInterval is the heartbeat interval with requests in flight.
	BusyInterval = time.Second
	// IdleInterval is the heartbeat interval without requests in flight. It is
	// also the bound on how long a leaving instance gets new work when the
	// pushed notification is lost, because the next heartbeat carries the state.
	IdleInterval = 3 * time.Second
	// SendMargin is how much earlier than the interval a sender sends, so that
	// scheduling delays do not make a healthy connection overdue.
	SendMargin = 200 * time.Millisecond
	// MaxMissedHeartbeats is the number of missed heartbeats after which a connection
	// is silent.
	MaxMissedHeartbeats = 3
)

// Config holds the limits of a View. Zero fields take the defaults.
type Config struct {
	// ProbeTimeout is how long a member without a working connection is tried
	// before it is judged gone.
	ProbeTimeout time.Duration
	// MaxProbeFailures is the number of failed new connections after which a
	// member is judged gone.
	MaxProbeFailures int
	// PathFaultWindow is the time within which connections that go silent count as
	// going silent at once.
	PathFaultWindow time.Duration
	// PathFaultShare is the share of connections that go silent at once in a path
	// fault.
	PathFaultShare float64
	// PathFaultMinConns is the least number of connections in a path fault.
	PathFaultMinConns int
}

func (c *Config) applyDefaults() {
	if c.ProbeTimeout <= 0 {
		c.ProbeTimeout = 2 * time.Second
	}
	if c.MaxProbeFailures <= 0 {
		c.MaxProbeFailures = 2
	}
	if c.PathFaultWindow <= 0 {
		c.PathFaultWindow = 3 * time.Second
	}
	if c.PathFaultShare <= 0 {
		c.PathFaultShare = 0.3
	}
	if c.PathFaultMinConns <= 0 {
		c.PathFaultMinConns = 3
	}
}

// SendInterval returns when a process sends its next heartbeat on a connection.
func SendInterval(requestsInFlight int) time.Duration {
	if requestsInFlight > 0 {
		return BusyInterval - SendMargin
	}
	return IdleInterval - SendMargin
}
