package member

import "time"

const (
	// BusyInterval is the heartbeat interval of a connection with requests in
	// flight.
	BusyInterval = time.Second
	// IdleInterval is the heartbeat interval of a connection without requests in
	// flight. It also limits how long a draining instance gets new work if its
	// notification is lost, because the next heartbeat carries the draining
	// state.
	IdleInterval = 3 * time.Second
	// SendMargin is how long before the end of the interval heartbeats are sent,
	// so that scheduling delays do not make a healthy connection overdue.
	SendMargin = 200 * time.Millisecond
	// MaxMissedHeartbeats is the number of heartbeat intervals without any frame
	// after which a connection counts as silent.
	MaxMissedHeartbeats = 3
)

// Config configures a View. Zero fields get default values.
type Config struct {
	// ReconnectTimeout is how long a member may be without a working connection
	// before it is considered gone.
	ReconnectTimeout time.Duration
	// MaxDialFailures is the number of failed connection attempts after which a
	// member without a working connection is considered gone.
	MaxDialFailures int
	// PathFaultWindow is the period within which connections have to go silent to
	// count towards the same path fault.
	PathFaultWindow time.Duration
	// PathFaultShare is the minimum share of connections that go silent in a path
	// fault, 0 to 1.
	PathFaultShare float64
	// PathFaultMinConns is the minimum number of connections that go silent in a
	// path fault.
	PathFaultMinConns int
}

func (c *Config) applyDefaults() {
	if c.ReconnectTimeout <= 0 {
		c.ReconnectTimeout = 2 * time.Second
	}
	if c.MaxDialFailures <= 0 {
		c.MaxDialFailures = 2
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

// SendInterval returns the time from one heartbeat that a process sends on a
// connection to the next.
func SendInterval(requestsInFlight int) time.Duration {
	if requestsInFlight > 0 {
		return BusyInterval - SendMargin
	}
	return IdleInterval - SendMargin
}
