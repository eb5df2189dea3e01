package clock

import "time"

// System is the operating system's clock, with Go's monotonic reading.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }
