package soak

import "time"

// checkRateLimits checks that all entries together keep to the rate limits that
// servers name, without entries that are killed, stopped or paused meanwhile.
func (c *checker) checkRateLimits() {
	outcomes := make(map[string]*outcome, len(c.recorder.outcomes))
	for i := range c.recorder.outcomes {
		o := &c.recorder.outcomes[i]
		outcomes[o.call.AttemptID] = o
	}
	byServer := make(map[string][]serverEvent)
	for _, e := range c.recorder.events {
		if e.kind == eventArrived || e.kind == eventRateLimit {
			byServer[e.server] = append(byServer[e.server], e)
		}
	}
	for server, events := range byServer {
		c.checkRateLimit(server, events, outcomes)
	}
}

// checkRateLimit checks one server. An arrival without the event of a limit belongs to
// a time without one.
func (c *checker) checkRateLimit(server string, events []serverEvent, outcomes map[string]*outcome) {
	limited := make(map[string]bool)
	for _, e := range events {
		if e.kind == eventRateLimit {
			limited[e.attempt] = true
		}
	}
	told := make(map[int]time.Duration)
	var first time.Duration
	var window []time.Duration
	for _, e := range events {
		o := outcomes[e.attempt]
		switch {
		case o == nil:
		case e.kind == eventRateLimit:
			if len(told) == 0 {
				first = e.at
			}
			if at, known := told[o.entry]; !known || o.ended < at {
				told[o.entry] = o.ended
			}
		case !limited[e.attempt]:
			// The limit has not begun or has ended.
			clear(told)
			window = nil
		default:
			at, known := told[o.entry]
			if !known || e.at < at+limitNewsTime || c.entryInterrupted(o.entry, e.at-limitWindow, e.at) || !undisturbed(c.steps, e.at-limitWindow, e.at, stabilityTime) {
				continue
			}
			window = append(window, e.at)
			for e.at-window[0] > limitWindow {
				window = window[1:]
			}
			if e.at >= first+stabilityTime && float64(len(window)) > maxLimitRatio*limitedRate*limitWindow.Seconds()+limitSlack {
				c.addViolation("LIMIT", e.at, "%s got %d requests in %v, limit %.1f/s", server, len(window), limitWindow, limitedRate)
				return
			}
		}
	}
}
