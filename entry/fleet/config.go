package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/follow"
	"github.com/auburnbend/auburnbend/lib/member"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/subset"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	defaultListInterval = 5 * time.Second
	startListInterval   = time.Second
	// entryListInterval is the least time between two looks at what agents have
	// to know about entries and their ranks.
	entryListInterval = time.Second
	defaultTick       = 200 * time.Millisecond
	// defaultCacheFetchInterval keeps snapshots of up to 1.3 KB, which a start of
	// the entry needs from each agent, to a part of its 8 KB/s.
	defaultCacheFetchInterval = time.Second
	// entryPeers bounds the entries of its own failure domain that an entry
	// connects to.
	entryPeers = 4
)

// DialFunc opens a connection and exchanges Hello messages.
type DialFunc func(ctx context.Context, address string) (*wire.Conn, wire.Hello, error)

// Config sets up a Fleet.
type Config struct {
	Identity model.Identity
	Clock    clock.Clock
	Rand     *rand.Rand
	Log      *eventlog.Logger
	// Dial opens connections to agents and to other entries.
	Dial         DialFunc
	InstanceList backing.InstanceList
	Follower     *follow.Follower
	Member       member.Config
	Subset       subset.Config
	Route        route.Config
	Limiter      admit.LimiterConfig
	// ListInterval is the time between two reads of the instance list.
	ListInterval time.Duration
	// CacheFetchInterval is the least time between two requests for snapshots of
	// prefix caches.
	CacheFetchInterval time.Duration
	// TickInterval is the time between two checks of silent connections.
	TickInterval time.Duration
	// HandleOther takes messages of entries that do not concern the fleet.
	HandleOther func(peer wire.Hello, m wire.Message, reply func(wire.Message) error)
	// Draining reports whether this entry is leaving.
	Draining func() bool
}

func (c Config) applyDefaults() Config {
	if c.ListInterval == 0 {
		c.ListInterval = defaultListInterval
	}
	if c.CacheFetchInterval == 0 {
		c.CacheFetchInterval = defaultCacheFetchInterval
	}
	if c.TickInterval == 0 {
		c.TickInterval = defaultTick
	}
	c.Route.Domain = c.Identity.Location.FailureDomain
	c.Route.Region = c.Identity.Location.Region
	return c
}
