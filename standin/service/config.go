package service

import "time"

// Config holds the behaviour of the stand-in.
type Config struct {
	// Address is the loopback listen address; port 0 takes a free port.
	Address string
	// Delay is the time that a call takes.
	Delay time.Duration
	// Capacity is reported with the load. A service without a capacity reports
	// no load and answers 404.
	Capacity int
	// LoadLag is the least age of a load report.
	LoadLag time.Duration
}

func (c *Config) applyDefaults() {
	if c.Address == "" {
		c.Address = "127.0.0.1:0"
	}
}
