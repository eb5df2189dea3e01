package placement

import "time"

const (
	// minWork and maxWork bound a reported work figure. Beyond them it makes no difference to
	// the choice, and an invalid figure must not outweigh the observed responses.
	minWork, maxWork = 0.25, 8
	// workSmoothing is the time over which figures are smoothed: they change many times a
	// second. maxWorkGain bounds the part of a single figure after a longer silence.
	workSmoothing = 500 * time.Millisecond
	maxWorkGain   = 0.25
	// A figure counts in full for workHold, and then less until it no longer counts at
	// maxWorkAge. A server that gets no requests reports no figures, and has to get one to
	// show that it has recovered.
	workHold   = 500 * time.Millisecond
	maxWorkAge = 1500 * time.Millisecond
)

// work is what a server reports about how long work takes there, as a ratio to the usual
// time. Only its change is used, relative to the figures of the responses that were observed:
// a figure that is always too high or too low has no effect.
type work struct {
	// recent is the smoothed figure, updatedAt the time of the last one.
	recent    float64
	updatedAt time.Time
	// observed is the smoothed figure at the responses of which the server's response time
	// is the mean; zero if there was no figure.
	observed float64
}

// update adds a figure.
func (w *work) update(figure float64, now time.Time) {
	if !(figure > 0) {
		return
	}
	figure = min(max(figure, minWork), maxWork)
	if w.observed == 0 {
		w.recent, w.observed = figure, figure
	}
	if !w.known(now) {
		w.recent = w.observed
	}
	gain := maxWorkGain
	if elapsed := max(now.Sub(w.updatedAt), 0); elapsed < workSmoothing {
		gain = min(gain, float64(elapsed)/float64(elapsed+workSmoothing))
	}
	// The conversion keeps the result independent of fused multiply-add instructions.
	w.recent += float64((figure - w.recent) * gain)
	w.updatedAt = now
}

// observeResponse records that a response has been observed.
func (w *work) observeResponse(now time.Time) {
	if w.known(now) {
		w.observed += (w.recent - w.observed) / responseSmoothing
	}
}

// known reports whether there is a current figure.
func (w *work) known(now time.Time) bool {
	return !w.updatedAt.IsZero() && now.Sub(w.updatedAt) < maxWorkAge
}

// change returns the ratio of the current figure to that of the observed responses. It is 1
// if either is unknown, and approaches 1 as the figure becomes old.
func (w *work) change(now time.Time) float64 {
	if !w.known(now) {
		return 1
	}
	change := w.recent/w.observed - 1
	return 1 + float64(change*freshness(now.Sub(w.updatedAt), workHold, maxWorkAge))
}

// freshness is how much a value of some age counts: 1 up to hold, then falling to 0 at end.
func freshness(age, hold, end time.Duration) float64 {
	switch {
	case age <= hold:
		return 1
	case age >= end:
		return 0
	default:
		return float64(end-age) / float64(end-hold)
	}
}
