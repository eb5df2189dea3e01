package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// Violation is a failed check.
type Violation struct {
	Rule, Detail string
	Time         time.Duration
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, v.Time.Seconds(), v.Detail)
}

// corruptionGrace is the time after the corruption of a staged piece in which an engine
// may load it: the agent may have verified the piece right before.
const corruptionGrace = 3 * time.Second

// responseSlack is how long after the timeout of a request its response may end.
const responseSlack = 500 * time.Millisecond

// checker checks a run against the requirements of the deployment.
type checker struct {
	recorder *recorder
	steps    []Step
	// stepsEnd and trafficEnd are the ends of the last step and of the traffic, from
	// the start of traffic.
	stepsEnd, trafficEnd time.Duration

	violations []Violation
}

func (c *checker) addViolation(rule string, at time.Duration, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Time: at, Detail: fmt.Sprintf(format, arguments...)})
}

// run makes all checks and returns the violations.
func (c *checker) run() []Violation {
	known := make(map[string]bool, len(c.recorder.outcomes))
	for i := range c.recorder.outcomes {
		o := &c.recorder.outcomes[i]
		known[o.call.AttemptID] = true
		c.checkResponse(o)
		c.checkRuns(o, c.recorder.runs[o.call.AttemptID])
	}
	for id, runs := range c.recorder.runs {
		if !known[id] {
			c.addViolation("UNASKED", runs[0].StartedAt.Sub(c.recorder.started), "no caller sent request %q", id)
		}
	}
	c.checkLoads()
	c.checkSignals()
	c.checkRateLimits()
	c.checkPoison()
	c.checkPoisonPart()
	c.checkSoundParts()
	c.checkRecovery()
	c.checkOddRows()
	c.checkPanics()
	return c.violations
}

// checkResponse checks what a caller received for a request.
func (c *checker) checkResponse(o *outcome) {
	noFaults := undisturbed(c.steps, o.sent, o.ended, stabilityTime)
	switch {
	case o.neverConnected() && o.ready && noFaults:
		c.addViolation("UNREACHABLE", o.ended, "%s could not connect to entry %d, which was ready: %v", o.call.AttemptID, o.entry, o.err)
	case o.neverConnected():
		// An entry that is not ready may refuse connections; the request was not sent.
	case o.err != nil && noFaults:
		c.addViolation("LOST", o.ended, "%s got no response from entry %d: %v", o.call.AttemptID, o.entry, o.err)
	case o.ended-o.sent > o.call.Timeout+responseSlack && noFaults:
		c.addViolation("LATE", o.ended, "%s got its response after %v, timeout %v", o.call.AttemptID, o.ended-o.sent, o.call.Timeout)
	}
	if o.err != nil {
		return
	}
	a := &o.response
	switch a.Status {
	case http.StatusOK:
		c.checkSuccess(o)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs := c.recorder.runs[o.call.AttemptID]; len(runs) > 0 && !o.route.repeatable() {
			c.addViolation("REFUSED", o.ended, "%s got status %d but ran at %s", o.call.AttemptID, a.Status, runs[0].Server)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		c.addViolation("DENIED", o.ended, "%s got status %d", o.call.AttemptID, a.Status)
	}
}

func (c *checker) checkSuccess(o *outcome) {
	a := &o.response
	id := o.call.AttemptID
	if !a.Signed || a.AttemptID != id {
		c.addViolation("MIXED", o.ended, "%s got the response to %q, signed: %t", id, a.AttemptID, a.Signed)
	}
	if !o.route.streams() {
		if a.Complete && a.Body != platformtest.ResponseBody(id) {
			c.addViolation("MIXED", o.ended, "%s got the body %q", id, a.Body)
		}
		return
	}
	first := o.call.LastEventID + 1
	for i, e := range a.Events {
		if e.ID != first+i || e.Data != platformtest.EventData(id, first+i) {
			c.addViolation("ORDER", o.ended, "%s got event %d %q instead of event %d", id, e.ID, e.Data, first+i)
			return
		}
	}
	if a.Complete && first+len(a.Events) != eventsPerStream {
		c.addViolation("ORDER", o.ended, "%s ended without error after %d of %d events", id, first+len(a.Events), eventsPerStream)
	}
	if !a.Complete && undisturbed(c.steps, o.sent, o.ended, stabilityTime) {
		c.addViolation("LOST", o.ended, "%s at entry %d was cut after %d events", id, o.entry, len(a.Events))
	}
}

// checkRuns checks how often and where a request ran.
func (c *checker) checkRuns(o *outcome, runs []platformtest.Run) {
	if len(runs) > 1 && !o.route.repeatable() {
		c.addViolation("TWICE", o.ended, "%s ran at %s and %s", o.call.AttemptID, runs[0].Server, runs[1].Server)
	}
	if len(runs) > o.route.MaxServers {
		c.addViolation("BUDGET", o.ended, "%s ran %d times, maximum %d", o.call.AttemptID, len(runs), o.route.MaxServers)
	}
	for i := range runs {
		c.checkRun(o, &runs[i])
	}
}

func (c *checker) checkRun(o *outcome, r *platformtest.Run) {
	at := r.StartedAt.Sub(c.recorder.started)
	if r.CorruptFor >= corruptionGrace {
		c.addViolation("WHOLE", at, "%s ran at %s on layers with pieces that had been corrupt for %v when they were taken", r.AttemptID, r.Server, r.CorruptFor)
	}
	if r.HasKey || r.Team != team || r.Target != o.call.Path || r.Body != o.call.Body {
		c.addViolation("UNASKED", at, "%s does not match its request: ran as %s for team %q, API key passed on: %t", r.AttemptID, r.Target, r.Team, r.HasKey)
	}
	if noFaults := undisturbed(c.steps, max(0, o.sent-bounds.configTime()), at, stabilityTime); !noFaults {
		return
	}
	if o.route.Prefix == movingPrefix {
		newest := c.newestVersion(c.recorder.configs, o.sent-bounds.configTime())
		if newest > 1 && r.Service == movingService(newest-1) && c.newestVersion(c.recorder.configs, at) == newest {
			c.addViolation("CONFIG", at, "%s ran at %s, contrary to configuration %d", r.AttemptID, r.Service, newest)
		}
	}
	// The time limit goes on while processes do not run.
	if required := c.newestVersion(c.recorder.weights, at-bounds.versionTime()); r.Version > 0 && r.Version < required && undisturbed(c.stepsExcept(processFaults...), max(0, at-bounds.versionTime()), at, stabilityTime) {
		c.addViolation("VERSION", at, "%s ran on version %d, required %d", r.AttemptID, r.Version, required)
	}
	if since, draining := c.recorder.drainingSince[r.Server]; draining && at > since+bounds.drainTime() {
		c.addViolation("DRAIN", at, "%s ran at %s, which had been draining for %v", r.AttemptID, r.Server, at-since)
	}
}

// newestVersion returns the newest version that was declared until at, or zero.
func (c *checker) newestVersion(list []declaredVersion, at time.Duration) int {
	version := 0
	for _, d := range list {
		if d.at <= at {
			version = d.version
		}
	}
	return version
}

// checkLoads checks the pieces that engines took. A load is judged by its own engine's
// pieces only. No agent can prevent a load whose order the engine read late; checkRun
// finds the requests that run on one.
func (c *checker) checkLoads() {
	for _, l := range c.recorder.loads {
		if l.OrderDelay == 0 && (l.Incomplete || l.CorruptFor >= corruptionGrace) {
			c.addViolation("WHOLE", l.at, "%s took layers %d to %d of version %d, incomplete: %t, corrupt for %v", l.Server, l.From, l.To, l.Version, l.Incomplete, l.CorruptFor)
		}
	}
}

// checkRecovery checks that at least a quarter of each route's requests are answered
// from recoveryTime after the last step on.
func (c *checker) checkRecovery() {
	type counts struct{ sent, answered int }
	byPrefix := make(map[string]*counts)
	for i := range c.recorder.outcomes {
		o := &c.recorder.outcomes[i]
		if o.sent < c.stepsEnd+recoveryTime || o.sent > c.trafficEnd-o.call.Timeout {
			continue
		}
		n := byPrefix[o.route.Prefix]
		if n == nil {
			n = &counts{}
			byPrefix[o.route.Prefix] = n
		}
		n.sent++
		if o.err == nil && o.response.Status == http.StatusOK && o.response.Complete {
			n.answered++
		}
	}
	for _, r := range routes {
		if n := byPrefix[r.Prefix]; n == nil || 4*n.answered < n.sent {
			c.addViolation("RECOVER", c.trafficEnd, "%s: requests after the recovery time: %+v", r.Prefix, n)
		}
	}
}
