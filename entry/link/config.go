package link

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
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
	// NextConnID numbers connections over all links of a process.
	NextConnID func() member.ConnID
	// MinBackoff and MaxBackoff bound the time between two attempts to connect.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

func (c Config) applyDefaults() Config {
	if c.MinBackoff == 0 {
		c.MinBackoff = defaultMinBackoff
	}
	if c.MaxBackoff == 0 {
		c.MaxBackoff = defaultMaxBackoff
	}
	return c
}
