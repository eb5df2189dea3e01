// Package clock provides the time source that is injected into every package
// that decides by time, so that tests and replays control it.
package clock

import "time"

// Clock tells the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time. Differences between two readings are
	// monotonic: a step of the wall clock does not affect them.
	Now() time.Time
}
