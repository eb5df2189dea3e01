package signals

import (
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/internal/measure/figure"
)

const (
	// pauseSlack is how long after a response with Retry-After requests may still arrive
	// that were sent before it, and maxDuringPause the requests of an entry that may arrive
	// after that until the pause ends.
	pauseSlack     = 500 * time.Millisecond
	maxDuringPause = 2
)

// figures returns what the run has measured. drainBound is how long after an entry has
// been told of a server's drain its requests may still arrive there.
func (r *recorder) figures(drainBound time.Duration) []figure.Figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	drains, pauses, late, duringPause := 0, 0, 0, 0
	var latest time.Duration
	for _, s := range r.firstDrains() {
		drains++
		for _, a := range r.arrivalsOf(s) {
			latest = max(latest, a.at.Sub(s.at))
			if a.at.Sub(s.at) > drainBound {
				late++
			}
		}
	}
	for _, s := range r.signals {
		if s.pauseUntil.IsZero() {
			continue
		}
		pauses++
		arrived := 0
		for _, a := range r.arrivalsOf(s) {
			if a.at.Sub(s.at) > pauseSlack && a.at.Before(s.pauseUntil) {
				arrived++
			}
		}
		duringPause = max(duringPause, arrived)
	}
	answered, refused, other, withoutDelay := r.countResponses()
	return []figure.Figure{
		{Name: "drains_told", Value: float64(drains), Unit: "pairs of entry and server", Bound: figure.AtLeast(1)},
		{Name: "requests_after_drain", Value: float64(late), Unit: "requests", Bound: figure.AtMost(0)},
		{Name: "last_request_after_drain", Value: latest.Seconds(), Unit: "s", Bound: figure.AtMost(drainBound.Seconds())},
		{Name: "pauses_told", Value: float64(pauses), Unit: "responses", Bound: figure.AtLeast(1)},
		{Name: "requests_in_pause_max", Value: float64(duringPause), Unit: "requests of one entry", Bound: figure.AtMost(maxDuringPause)},
		{Name: "requests_answered", Value: float64(answered), Unit: "requests", Bound: figure.AtLeast(1)},
		{Name: "requests_refused", Value: float64(refused), Unit: "requests"},
		{Name: "refusals_without_delay", Value: float64(withoutDelay), Unit: "requests", Bound: figure.AtMost(0)},
		{Name: "requests_failed", Value: float64(other), Unit: "requests"},
	}
}

// firstDrains returns the first drain that each entry was told of by each server.
func (r *recorder) firstDrains() []signal {
	type pair struct {
		server string
		entry  int
	}
	told := make(map[pair]bool)
	var first []signal
	for _, s := range r.signals {
		if p := (pair{s.server, s.entry}); s.pauseUntil.IsZero() && !told[p] {
			told[p] = true
			first = append(first, s)
		}
	}
	return first
}

// arrivalsOf returns the requests that the entry of a signal sent to its server and that
// arrived after it.
func (r *recorder) arrivalsOf(s signal) []arrival {
	var after []arrival
	for _, a := range r.arrivals[s.server] {
		if a.entry == s.entry && a.at.After(s.at) {
			after = append(after, a)
		}
	}
	return after
}

// countResponses counts the responses that callers got, and the refusals that do not say
// when to return.
func (r *recorder) countResponses() (answered, refused, other, withoutDelay int) {
	for _, response := range r.responses {
		switch {
		case response.Status == http.StatusOK && response.Complete:
			answered++
		case response.Status == http.StatusServiceUnavailable:
			refused++
			if response.RetryAfter <= 0 {
				withoutDelay++
			}
		default:
			other++
		}
	}
	return answered, refused, other, withoutDelay
}
