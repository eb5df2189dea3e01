package settings

import "time"

const (
	// defaultDrain lets a long answer finish before the process ends.
	defaultDrain = 2 * time.Minute
	minDrain     = time.Second
	maxDrain     = time.Hour
)

// Drain bounds the graceful end of a process.
type Drain struct {
	// Timeout is the time after which the process ends with work unfinished.
	Timeout time.Duration
}

func (r *reader) drain() Drain {
	return Drain{Timeout: r.duration("drain", "timeout", defaultDrain, minDrain, maxDrain)}
}
