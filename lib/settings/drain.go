package settings

import "time"

const (
	// defaultDrainTimeout lets long answers finish before the process exits.
	defaultDrainTimeout = 2 * time.Minute
	minDrainTimeout     = time.Second
	maxDrainTimeout     = time.Hour
)

// Drain holds the limits of a graceful shutdown.
type Drain struct {
	// Timeout is the time after which the process exits even with unfinished work.
	Timeout time.Duration
}

func (r *reader) drain() Drain {
	return Drain{Timeout: r.duration("drain", "timeout", defaultDrainTimeout, minDrainTimeout, maxDrainTimeout)}
}
