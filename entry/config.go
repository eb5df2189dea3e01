package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/auburnbend/auburnbend/entry/dispatch"
	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/distribute"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/listen"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/rollout"
	"github.com/auburnbend/auburnbend/lib/security"
)

const (
	// defaultBalancerLag is the time that an entry serves on after its readiness
	// check fails, because the balancer still sends.
	defaultBalancerLag = 3 * time.Second
)

// Metrics takes the measurements of an entry.
type Metrics interface {
	dispatch.Metrics
	CountInvalid(reason outcome.Reason)
}

// Config sets up an Entry.
type Config struct {
	Identity model.Identity
	Clock    clock.Clock
	Rand     *rand.Rand
	Log      *eventlog.Logger
	Metrics  Metrics

	// CallerListener, Peers and Operators are the listeners. Operators may be nil.
	CallerListener, PeerListener, OperatorListener net.Listener
	// Dial replaces the way in which connections to peers are opened; tests use
	// it to inject faults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Policy says who may connect in which role; nil means plain text.
	Policy *security.Policy

	Table        backing.TableService
	InstanceList backing.InstanceList

	Fleet    fleet.Config
	Dispatch dispatch.Config
	Tracker  distribute.TrackerConfig
	Rollout  rollout.Config
	// BalancerLag is the time between the failed readiness check and the end of
	// accepting.
	BalancerLag time.Duration
}

func (c Config) applyDefaults() Config {
	if c.BalancerLag == 0 {
		c.BalancerLag = defaultBalancerLag
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return listen.Dial(ctx, c.Policy, address)
		}
	}
	return c
}
