package service

import "time"

// Config configures a Server.
type Config struct {
	// Address is the loopback listen address; port 0 selects a free port. It defaults to
	// 127.0.0.1:0.
	Address string
	// Delay is the duration of a call.
	Delay time.Duration
	// Capacity is the capacity in load reports. If it is 0, the service has no load
	// reports and replies 404.
	Capacity int
	// LoadLag is the minimum age of a load report.
	LoadLag time.Duration
}

func (c *Config) applyDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
}
