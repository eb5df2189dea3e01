package soak

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// partCrashes is the number of servers that may crash before poisonPart must be
	// recognized, and maxLateParts the maximum number of requests with it that reach
	// servers more than stabilityTime after that.
	partCrashes  = 5
	maxLateParts = 3
	// minSoundRequests is the minimum number of sound requests on a route for which their
	// share of answers is checked.
	minSoundRequests = 10
)

// partCrash is the crash of a server by a request with poisonPart.
type partCrash struct {
	server string
	at     time.Duration
}

func (o *outcome) hasPoisonPart() bool {
	return platformtest.HasSharedPart(o.call.Parts, poisonPart)
}

// partCrashesAround returns the crashes by poisonPart between the losses of power of all
// daemons before and after a point in time, in order. Such a loss ends what they know.
func (c *checker) partCrashesAround(at time.Duration) []partCrash {
	first := make(map[string]time.Duration)
	for _, runs := range c.recorder.runs {
		for _, r := range runs {
			started := r.StartedAt.Sub(c.recorder.started)
			if known, ok := first[r.Server]; platformtest.HasSharedPart(r.Parts, poisonPart) && (!ok || started < known) {
				first[r.Server] = started
			}
		}
	}
	var crashes []partCrash
	for server, crashed := range first {
		lost := func(s Step) bool {
			return s.Kind == KillAll && min(at, crashed) < s.Start && s.Start <= max(at, crashed)
		}
		if !slices.ContainsFunc(c.steps, lost) {
			crashes = append(crashes, partCrash{server, crashed})
		}
	}
	slices.SortFunc(crashes, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	return crashes
}

// checkPoisonPart checks that requests with poisonPart are no longer sent to servers once
// partCrashes of them have crashed.
func (c *checker) checkPoisonPart() {
	poison := make(map[string]bool)
	for i := range c.recorder.outcomes {
		o := &c.recorder.outcomes[i]
		poison[o.call.AttemptID] = o.hasPoisonPart()
	}
	late := make(map[time.Duration]int)
	for _, e := range c.recorder.events {
		if e.kind != eventArrived || !poison[e.attempt] || !undisturbed(c.stepsExcept(SendPoison, SendPoisonPart), e.at-stabilityTime, e.at, 0) {
			continue
		}
		crashes := c.partCrashesAround(e.at)
		if len(crashes) < partCrashes || e.at <= crashes[partCrashes-1].at+stabilityTime {
			continue
		}
		if late[crashes[0].at]++; late[crashes[0].at] == maxLateParts+1 {
			c.addViolation("BUDGET", e.at, "more than %d requests with a part that had crashed %d servers reached servers", maxLateParts, partCrashes)
		}
	}
}

// checkSoundParts checks that at least half of the requests of each route are answered
// while requests with poisonPart come, from twice stabilityTime after the last crash that
// these may cause. Planned work goes on meanwhile, so that not all are answered. A request
// that was running on a server as it crashed does not count.
func (c *checker) checkSoundParts() {
	type counts struct{ sent, answered int }
	byPrefix := make(map[string]*counts)
	others := c.stepsExcept(SendPoisonPart)
	for i := range c.recorder.outcomes {
		o := &c.recorder.outcomes[i]
		if o.hasPoisonPart() || !c.sendsPoisonPart(o.sent) || !undisturbed(others, o.sent, o.ended, recoveryTime) {
			continue
		}
		crashes := c.partCrashesAround(o.sent)
		if len(crashes) == 0 || o.sent < crashes[min(len(crashes), partCrashes)-1].at+2*stabilityTime {
			continue
		}
		answered := o.err == nil && o.response.Status == http.StatusOK && o.response.Complete
		if !answered && c.crashInterrupted(o, crashes) {
			continue
		}
		n := byPrefix[o.route.Prefix]
		if n == nil {
			n = &counts{}
			byPrefix[o.route.Prefix] = n
		}
		n.sent++
		if answered {
			n.answered++
		}
	}
	for prefix, n := range byPrefix {
		if n.sent >= minSoundRequests && 2*n.answered < n.sent {
			c.addViolation("UNANSWERED", c.stepsEnd, "%s: %d of %d requests were answered beside those with a part that crashes servers", prefix, n.answered, n.sent)
		}
	}
}

// sendsPoisonPart reports whether a step sends requests with poisonPart at a point in time.
func (c *checker) sendsPoisonPart(at time.Duration) bool {
	return slices.ContainsFunc(c.steps, func(s Step) bool {
		return s.Kind == SendPoisonPart && s.Start <= at && at < s.Start+s.Duration
	})
}

// crashInterrupted reports whether a server crashed while it was running the request.
func (c *checker) crashInterrupted(o *outcome, crashes []partCrash) bool {
	for _, r := range c.recorder.runs[o.call.AttemptID] {
		if slices.ContainsFunc(crashes, func(crash partCrash) bool { return crash.server == r.Server && crash.at <= o.ended }) {
			return true
		}
	}
	return false
}
