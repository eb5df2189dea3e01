package placement

import "time"

// courseTime is how long the course of a count is kept. Reports are older than
// that only if they tell nothing of the present.
const courseTime = 2 * time.Second

// course is a count over the last courseTime.
type course struct {
	points []point
}

// point is a value that a count has from a moment on.
type point struct {
	at    time.Time
	value int
}

// set takes a new value. Times must not fall.
func (c *course) set(value int, now time.Time) {
	drop := 0
	// The last point before the kept time tells the value at its beginning.
	for drop+1 < len(c.points) && now.Sub(c.points[drop+1].at) > courseTime {
		drop++
	}
	if drop > 0 {
		c.points = append(c.points[:0], c.points[drop:]...)
	}
	c.points = append(c.points, point{now, value})
}

// at returns the value at a moment; the oldest one that is known if it is longer
// ago.
func (c *course) at(moment time.Time) int {
	for i := len(c.points) - 1; i >= 0; i-- {
		if !c.points[i].at.After(moment) {
			return c.points[i].value
		}
	}
	return 0
}
