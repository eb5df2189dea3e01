package link

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	defaultHeartbeat  = time.Second
	defaultMinBackoff = 100 * time.Millisecond
	defaultMaxBackoff = 2 * time.Second
)

// Config sets up a Link.
type Config struct {
	// Instance and Address name the agent.
	Instance model.InstanceID
	Address  string
	// Dial opens a connection and exchanges Hello messages.
	Dial func(ctx context.Context, address string) (*wire.Conn, wire.Hello, error)
	// Heartbeat returns the heartbeat to send now; Sequence is set by the link.
	Heartbeat func() wire.Heartbeat
	// HeartbeatInterval is the time between two heartbeats while requests are in
	// flight.
	HeartbeatInterval time.Duration
	// IdleFactor lengthens the interval while nothing is in flight. An entry with
	// 60 idle connections would otherwise spend its 8 KB/s on heartbeats.
	IdleFactor int
	// MinBackoff and MaxBackoff bound the time between two attempts to connect.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (c Config) applyDefaults() Config {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeat
	}
	if c.IdleFactor == 0 {
		c.IdleFactor = 1
	}
	if c.MinBackoff == 0 {
		c.MinBackoff = defaultMinBackoff
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return c
}
