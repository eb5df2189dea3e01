package engine

import "time"

const (
	// defaultPollInterval is the interval between reads of the state while an
	// order is running or its outcome is unknown.
	defaultPollInterval = 250 * time.Millisecond
	// defaultSettleTime is how long an order may remain unread in the engine's
	// socket after its connection was lost.
	defaultSettleTime = 3 * time.Second
	// maxReadGapShare sets the longest time between two successful reads of the state of
	// an engine that counts as running in between: the settle time divided by this
	// number. With the default times it is six poll intervals.
	maxReadGapShare = 2
)

// GuardConfig configures a Guard.
type GuardConfig struct {
	// Epoch is the start counter of the agent generation. If it is 0, the guard
	// uses the number after the one in the engine's last accepted fence.
	Epoch uint64
	// EnforcesFencing is true if the engine rejects orders with outdated fencing
	// numbers. Otherwise the first order is delayed until the settle time has passed
	// since the first read of the state, because an order of an earlier agent may
	// still be unread.
	EnforcesFencing bool
	// PollInterval is the interval between reads of the state while an order is
	// running or its outcome is unknown.
	PollInterval time.Duration
	// SettleTime is the time after which an order whose reply was lost is
	// considered never accepted, unless the engine's state shows it. Only time in which
	// the engine responds counts.
	SettleTime time.Duration
}

func (c *GuardConfig) applyDefaults() {
	setDefault(&c.PollInterval, defaultPollInterval)
	setDefault(&c.SettleTime, defaultSettleTime)
}
