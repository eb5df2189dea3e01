package dispatch

import (
	"time"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
)

const (
	// defaultReattachTimeout limits the wait for a new connection to an agent.
	// Together with the 3 s after which a silent connection is detected, it stays
	// within the 5 s in which the first success is due.
	defaultReattachTimeout = 1500 * time.Millisecond
	// defaultFirstToken is the first-token target of classes that declare none.
	defaultFirstToken = 1400 * time.Millisecond
	// defaultClaimTimeout limits the calls of the table service for one claim
	// operation.
	defaultClaimTimeout = 2 * time.Second
	// defaultPruneInterval results in one read per second for 600 entries.
	defaultPruneInterval = 10 * time.Minute
	// defaultQueuePollInterval is the time between two polls of the queues
	// without an event.
	defaultQueuePollInterval = 20 * time.Millisecond
)

// Config configures a Dispatcher. Zero durations take their defaults.
type Config struct {
	Clock   clock.Clock
	Log     *eventlog.Logger
	Fleet   *fleet.Fleet
	Ledger  *claim.Ledger
	Metrics Metrics
	// Current returns the configuration in force.
	Current func() *config.Config
	Attempt attempt.Config
	Budget  attempt.BudgetConfig
	Queue   admit.Config
	// ReattachTimeout limits the wait for a new connection to an agent.
	ReattachTimeout time.Duration
	ClaimTimeout    time.Duration
	// PruneInterval is the time between two scans for expired claims, one page
	// each.
	PruneInterval     time.Duration
	QueuePollInterval time.Duration
}

func (c Config) applyDefaults() Config {
	if c.ReattachTimeout == 0 {
		c.ReattachTimeout = defaultReattachTimeout
	}
	if c.ClaimTimeout == 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.PruneInterval == 0 {
		c.PruneInterval = defaultPruneInterval
	}
	if c.QueuePollInterval == 0 {
		c.QueuePollInterval = defaultQueuePollInterval
	}
	return c
}
