package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// retryAfterSlack is the time after a response with Retry-After in which requests
	// may still arrive that were sent before the entry received it.
	retryAfterSlack = 500 * time.Millisecond
	// maxDuringRetryAfter is the maximum number of later requests of an entry until the
	// Retry-After has passed.
	maxDuringRetryAfter = 2
	// maxPoisonedServers is the number of servers that one poison request may crash.
	// maxLatePoisonRuns is the maximum number of runs that begin more than stabilityTime
	// after that.
	maxPoisonedServers = 3
	maxLatePoisonRuns  = 3
	// limitedRate is the rate limit that a server names, in requests per second. Within
	// limitWindow it may get maxLimitRatio times that and limitSlack requests, from
	// stabilityTime after it first named the limit on. limitNewsTime is the time from
	// its answer until the entry keeps to it.
	limitedRate   = 1.0
	limitWindow   = 4 * time.Second
	maxLimitRatio = 1.5
	limitSlack    = 5
	limitNewsTime = 500 * time.Millisecond
	// minLimitDuration is added to the duration of a step that limits a server, so that
	// it covers a window.
	minLimitDuration = 4 * time.Second
)

// checkSignals checks that servers get no requests after they have signaled that they
// drain or have asked for a pause.
func (c *checker) checkSignals() {
	outcomes := make(map[string]*outcome, len(c.recorder.outcomes))
	for i := range c.recorder.outcomes {
		o := &c.recorder.outcomes[i]
		outcomes[o.call.AttemptID] = o
	}
	arrivals := make(map[string][]serverEvent)
	for _, e := range c.recorder.events {
		if e.kind == eventArrived {
			arrivals[e.server] = append(arrivals[e.server], e)
		}
	}
	for _, e := range c.recorder.events {
		o := outcomes[e.attempt]
		switch {
		case o == nil:
		case e.kind == eventDraining:
			c.checkDrainingSignal(e, o, arrivals[e.server], outcomes)
		case e.kind == eventRetryAfter:
			c.checkRetryAfter(e, o, arrivals[e.server], outcomes)
		}
	}
}

// checkDrainingSignal checks that an entry sends nothing more to a server after it has
// forwarded a response in which the server signaled that it drains.
func (c *checker) checkDrainingSignal(e serverEvent, o *outcome, arrivals []serverEvent, outcomes map[string]*outcome) {
	if o.err != nil || o.response.Status != http.StatusOK || !o.response.Complete {
		return
	}
	for _, a := range arrivals {
		later := outcomes[a.attempt]
		if later == nil || later.entry != o.entry || later.sent <= o.ended+bounds.drainTime() || c.entryInterrupted(o.entry, o.ended, a.at) {
			continue
		}
		c.addViolation("DRAIN", a.at, "%s reached %s, which had signaled to entry %d %v before that it drains", a.attempt, e.server, o.entry, a.at-o.ended)
	}
}

// checkRetryAfter checks how many requests an entry sends to a server that has asked it
// for a pause.
func (c *checker) checkRetryAfter(e serverEvent, o *outcome, arrivals []serverEvent, outcomes map[string]*outcome) {
	end := e.at + e.retryAfter
	if !undisturbed(c.steps, e.at-retryAfterSlack, end, 0) || c.entryInterrupted(o.entry, e.at, end) {
		return
	}
	sent := 0
	for _, a := range arrivals {
		if later := outcomes[a.attempt]; later != nil && later.entry == o.entry && a.at > e.at+retryAfterSlack && a.at < end {
			sent++
		}
	}
	if sent > maxDuringRetryAfter {
		c.addViolation("BUDGET", end, "%d requests reached %s in a pause that it had asked entry %d for, maximum %d", sent, e.server, o.entry, maxDuringRetryAfter)
	}
}

// entryInterrupted reports whether an entry was killed, stopped or paused between two
// points in time.
func (c *checker) entryInterrupted(entry int, from, to time.Duration) bool {
	for _, s := range c.steps {
		switch s.Kind {
		case KillEntry, PauseEntry, StopEntry:
			if s.Target%entryCount != entry {
				continue
			}
		case KillAll:
		default:
			continue
		}
		if s.Start <= to && s.Start+s.Duration+maxStopTime >= from {
			return true
		}
	}
	return false
}

// maxStopTime is how long a stopped entry may continue to serve.
const maxStopTime = 8 * time.Second

// checkPoison checks that poison requests are no longer sent to servers once they have
// crashed maxPoisonedServers.
func (c *checker) checkPoison() {
	var runs []platformtest.Run
	for _, attemptRuns := range c.recorder.runs {
		for _, r := range attemptRuns {
			if r.Body == poisonBody {
				runs = append(runs, r)
			}
		}
	}
	for _, target := range distinctTargets(runs) {
		c.checkPoisonTarget(target, runs)
	}
}

func (c *checker) checkPoisonTarget(target string, runs []platformtest.Run) {
	var times []time.Duration
	for _, r := range runs {
		if r.Target == target {
			times = append(times, r.StartedAt.Sub(c.recorder.started))
		}
	}
	slices.Sort(times)
	late := 0
	for i, at := range times {
		if i >= maxPoisonedServers && at > times[maxPoisonedServers-1]+stabilityTime && undisturbed(c.stepsExcept(SendPoison, SendPoisonPart), at-stabilityTime, at, 0) {
			late++
		}
	}
	if late > maxLatePoisonRuns {
		c.addViolation("BUDGET", times[len(times)-1], "%s reached servers %d times after it had crashed three", target, late)
	}
}

// stepsExcept returns the steps other than those of some kinds.
func (c *checker) stepsExcept(kinds ...StepKind) []Step {
	var others []Step
	for _, s := range c.steps {
		if !slices.Contains(kinds, s.Kind) {
			others = append(others, s)
		}
	}
	return others
}

func distinctTargets(runs []platformtest.Run) []string {
	var targets []string
	for _, r := range runs {
		if !slices.Contains(targets, r.Target) {
			targets = append(targets, r.Target)
		}
	}
	return targets
}
