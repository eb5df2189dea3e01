package admit

import (
	"math"
	"time"
)

// rate measures the tokens dequeued per second while requests are queued.
// tokens and seconds decay exponentially, so that a change of capacity shows
// within the window.
type rate struct {
	tokens    float64
	seconds   float64
	busySince time.Time // zero while no request is queued
}

// startBusy marks the start of a busy period.
func (r *rate) startBusy(now time.Time) {
	if r.busySince.IsZero() {
		r.busySince = now
	}
}

// advance adds the busy time since the last call.
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

func (r *rate) addTokens(tokens int) { r.tokens += float64(tokens) }

func (r *rate) stopBusy() { r.busySince = time.Time{} }

// perSecond returns the rate in tokens per second, or false if there is too
// little data.
func (r *rate) perSecond() (float64, bool) {
	const minBusySeconds = 0.05
	if r.seconds < minBusySeconds || r.tokens == 0 {
		return 0, false
	}
	return r.tokens / r.seconds, true
}
