// Package clock provides a time source that is injected into all packages with
// time-dependent behaviour, so that tests and replays can control it.
package clock

import "time"

// Clock returns the current time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time. Differences between two readings are monotonic:
	// they are not affected by changes of the wall clock.
	Now() time.Time
}
