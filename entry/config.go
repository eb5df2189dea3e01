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
	// defaultBalancerLag is how long a draining entry continues to accept requests. The
	// load balancer still sends some after the readiness check has failed.
	defaultBalancerLag = 3 * time.Second
)

// Metrics records the measurements of an entry. Implementations must be safe for
// concurrent use.
type Metrics interface {
	dispatch.Metrics
	// CountInvalid counts a request with invalid input.
	CountInvalid(reason outcome.Reason)
}

// Config configures an Entry.
type Config struct {
	Identity model.Identity
	Clock    clock.Clock
	Rand     *rand.Rand
	Log      *eventlog.Logger
	Metrics  Metrics

	// OperatorListener may be nil, which disables the operators' interface.
	CallerListener, PeerListener, OperatorListener net.Listener
	// Dial opens connections to peers. nil means listen.Dial with Policy; tests replace
	// it to inject faults.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Policy determines who may connect in which role. nil means unencrypted
	// connections.
	Policy *security.Policy

	Table        backing.TableService
	InstanceList backing.InstanceList

	Fleet    fleet.Config
	Dispatch dispatch.Config
	Tracker  distribute.TrackerConfig
	Rollout  rollout.Config
	// BalancerLag is the time from the start of draining, when the readiness check
	// begins to fail, until the entry stops accepting requests. Zero means 3 s.
	BalancerLag time.Duration

	// MaxBodyBytes and MaxResponseBytes limit the memory of long bodies of requests, and of
	// long responses that are not streamed, each for all requests together, in bytes. Zero
	// takes the defaults of package caller.
	MaxBodyBytes, MaxResponseBytes int64
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
