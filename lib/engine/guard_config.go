package engine

import "time"

const (
	// defaultPoll is the interval between two reads of state while an order
	// runs or its outcome is unknown.
	defaultPoll = 250 * time.Millisecond
	// defaultSettle is how long an order whose connection was lost may still
	// sit unread in the engine's socket before it counts as never accepted.
	defaultSettle = 3 * time.Second
)

// GuardConfig holds the settings of a Guard.
type GuardConfig struct {
	// Epoch is the agent generation's start counter. 0 takes the number after
	// the one that the engine reports at the first read of state.
	Epoch uint64
	// EnforcesFencing says that the engine refuses old numbers. Without it the first
	// order waits until the settle time has passed since the first read of
	// state: an order of an earlier agent may still be unread.
	EnforcesFencing bool
	PollInterval    time.Duration
	SettleTime      time.Duration
}

func (c *GuardConfig) applyDefaults() {
	defaultTo(&c.PollInterval, defaultPoll)
	defaultTo(&c.SettleTime, defaultSettle)
}
