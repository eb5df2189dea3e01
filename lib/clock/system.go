package clock

import "time"

// System is the system clock, with a monotonic reading.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }
