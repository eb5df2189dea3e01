package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time for which the machine was suspended, which
// the monotonic reading of System does not count. Its readings start at the boot of the
// machine and can be compared only with each other.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock, and the call has no other failure.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
