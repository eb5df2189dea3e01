package dispatch

import "time"

// timing holds the time measurements of one attempt.
type timing struct {
	dispatched time.Time
	first      time.Time
	last       time.Time
	frames     int
}

func (t *timing) start(now time.Time) { *t = timing{dispatched: now} }

// frame records the arrival of a frame. It returns the time since the dispatch
// for the first frame, and the time since the previous frame for others.
func (t *timing) frame(now time.Time) (elapsed time.Duration, first bool) {
	t.frames++
	if t.frames == 1 {
		t.first, t.last = now, now
		return now.Sub(t.dispatched), true
	}
	elapsed = now.Sub(t.last)
	t.last = now
	return elapsed, false
}

// betweenFrames returns the mean time between frames. ok is false for fewer
// than two frames.
func (t *timing) betweenFrames() (mean time.Duration, ok bool) {
	if t.frames < 2 {
		return 0, false
	}
	return t.last.Sub(t.first) / time.Duration(t.frames-1), true
}
