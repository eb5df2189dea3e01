package admit

import (
	"math"
	"time"
)

// rate measures how many tokens per second are taken from the queue while
// requests wait. Both sums decay, so that a change of the backend servers shows
// within the window.
type rate struct {
	tokens    float64
	seconds   float64
	busySince time.Time // zero while nothing waits
}

// busy notes that requests wait from now on.
func (r *rate) busy(now time.Time) {
	if r.busySince.IsZero() {
		r.busySince = now
	}
}

// advance counts the time since the last call when requests waited.
func (r *rate) advance(now time.Time, window time.Duration) {
	if r.busySince.IsZero() {
		return
	}
	d := now.Sub(r.busySince).Seconds()
	decay := math.Exp(-d / window.Seconds())
	r.tokens *= decay
	r.seconds = r.seconds*decay + d
	r.busySince = now
}

func (r *rate) took(tokens int) { r.tokens += float64(tokens) }

func (r *rate) idle() { r.busySince = time.Time{} }

// perSecond returns the rate, or false before enough is known.
func (r *rate) perSecond() (float64, bool) {
	const enough = 0.05 // seconds of waiting requests
	if r.seconds < enough || r.tokens == 0 {
		return 0, false
	}
	return r.tokens / r.seconds, true
}
