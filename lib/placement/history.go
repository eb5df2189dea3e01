package placement

import "time"

// historyRetention is how long the history of a count is kept. Reports that are
// older no longer describe the present.
const historyRetention = 2 * time.Second

// history records a count over the last historyRetention.
type history struct {
	points []point
}

// point is a value that a count has from a moment on.
type point struct {
	at    time.Time
	value int
}

// set records a new value. now must not decrease between calls.
func (c *history) set(value int, now time.Time) {
	drop := 0
	// Keep the last point before the retained period: it holds the value at its
	// beginning.
	for drop+1 < len(c.points) && now.Sub(c.points[drop+1].at) > historyRetention {
		drop++
	}
	if drop > 0 {
		c.points = append(c.points[:0], c.points[drop:]...)
	}
	c.points = append(c.points, point{now, value})
}

// valueAt returns the value at a moment, or zero if that is before the oldest
// recorded value.
func (c *history) valueAt(moment time.Time) int {
	for i := len(c.points) - 1; i >= 0; i-- {
		if !c.points[i].at.After(moment) {
			return c.points[i].value
		}
	}
	return 0
}
