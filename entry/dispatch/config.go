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
	// defaultReattachWait bounds the wait for a new connection to an agent: with
	// 3 s for the detection of a silent one it leaves room in the 5 s within
	// which the first success is due.
	defaultReattachWait = 1500 * time.Millisecond
	// defaultFirstToken is the target of classes that declare none.
	defaultFirstToken = 1400 * time.Millisecond
	// defaultClaimTimeout bounds one call of the table service for a claim.
	defaultClaimTimeout = 2 * time.Second
	// defaultPruneInterval spends one read a second over 600 entries.
	defaultPruneInterval = 10 * time.Minute
	// defaultTick is the time between two looks at queues without an event.
	defaultTick = 20 * time.Millisecond
)

// Config sets up a Dispatcher.
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
	// ReattachTimeout bounds the wait for a new connection to an agent.
	ReattachTimeout time.Duration
	ClaimTimeout    time.Duration
	// PruneInterval is the time between two pages of claims that are looked at
	// for pruning.
	PruneInterval     time.Duration
	QueuePollInterval time.Duration
}

func (c Config) applyDefaults() Config {
	if c.ReattachTimeout == 0 {
		c.ReattachTimeout = defaultReattachWait
	}
	if c.ClaimTimeout == 0 {
		c.ClaimTimeout = defaultClaimTimeout
	}
	if c.PruneInterval == 0 {
		c.PruneInterval = defaultPruneInterval
	}
	if c.QueuePollInterval == 0 {
		c.QueuePollInterval = defaultTick
	}
	return c
}
