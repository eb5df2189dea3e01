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

// Config configures a Link.
type Config struct {
	// Instance and Address identify the peer, which is an agent or another entry.
	Instance model.InstanceID
	Address  string
	// Dial opens a connection and performs the handshake. It returns the Hello of
	// the peer.
	Dial func(ctx context.Context, address string) (*wire.Conn, wire.Hello, error)
	// Heartbeat returns the next heartbeat to send. The link sets its Sequence.
	Heartbeat func() wire.Heartbeat
	// NextConnID returns a connection ID that is unique in the process.
	NextConnID func() member.ConnID
	// MinBackoff and MaxBackoff limit the time between two attempts to connect.
	// Zero values are replaced by 100 ms and 2 s.
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
