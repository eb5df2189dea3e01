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
func (h *history) set(value int, now time.Time) {
	drop := 0
	// Keep the last point before the retained period: it holds the value at its
	// beginning.
	for drop+1 < len(h.points) && now.Sub(h.points[drop+1].at) > historyRetention {
		drop++
	}
	if drop > 0 {
		h.points = append(h.points[:0], h.points[drop:]...)
	}
	h.points = append(h.points, point{now, value})
}

// valueAt returns the value at a moment, or zero if that is before the oldest
// recorded value.
func (h *history) valueAt(moment time.Time) int {
	for i := len(h.points) - 1; i >= 0; i-- {
		if !h.points[i].at.After(moment) {
			return h.points[i].value
		}
	}
	return 0
}
