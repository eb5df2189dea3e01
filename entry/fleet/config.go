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
	// startListInterval applies while no agents are known.
	startListInterval = time.Second
	// entryListCheckInterval is the minimum time between two checks whether agents
	// need a new list of entries or a new rank.
	entryListCheckInterval = time.Second
	defaultTickInterval    = 200 * time.Millisecond
	// defaultCacheFetchInterval limits the bandwidth that a starting entry uses. It
	// needs a snapshot of up to 1.3 KB from each agent, and one per second takes
	// only a part of the entry's control budget of 8 KB/s.
	defaultCacheFetchInterval = time.Second
	// maxEntryPeers is the maximum number of entries in its own failure domain that
	// an entry connects to.
	maxEntryPeers = 4
)

// DialFunc opens a connection and performs the handshake. It returns the Hello of
// the peer.
type DialFunc func(ctx context.Context, address string) (*wire.Conn, wire.Hello, error)

// Config configures a Fleet. The Domain and Region of Route are set from Identity.
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
	// CacheFetchInterval is the minimum time between two requests for cache
	// snapshots, over all agents.
	CacheFetchInterval time.Duration
	// TickInterval is the time between two checks for silent connections.
	TickInterval time.Duration
	// HandleOther processes messages from other entries that the Fleet does not
	// process itself.
	HandleOther func(peer wire.Hello, m wire.Message, reply func(wire.Message) error)
	// Draining reports whether this entry is draining.
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
		c.TickInterval = defaultTickInterval
	}
	c.Route.Domain = c.Identity.Location.FailureDomain
	c.Route.Region = c.Identity.Location.Region
	return c
}
