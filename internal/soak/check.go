package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

// Violation is a broken promise.
type Violation struct {
	Rule, Detail string
	Time         time.Duration
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.3fs: %s", v.Rule, v.Time.Seconds(), v.Detail)
}

// rotExcuse is the time after a piece has turned bad at an engine in which it
// may be loaded: the agent may have checked it right before.
const rotExcuse = 3 * time.Second

// answerSlack is how long after its limit a request may stay without an answer.
const answerSlack = 500 * time.Millisecond

// check holds a run against what the deployment demands.
type check struct {
	ledger *ledger
	steps  []Step
	// busy is when the last step has ended, end when the traffic does.
	busy, end time.Duration

	violations []Violation
}

func (c *check) broken(rule string, at time.Duration, format string, arguments ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Time: at, Detail: fmt.Sprintf(format, arguments...)})
}

// run checks everything and returns what is broken.
func (c *check) run() []Violation {
	known := make(map[string]bool, len(c.ledger.outcomes))
	for i := range c.ledger.outcomes {
		o := &c.ledger.outcomes[i]
		known[o.call.AttemptID] = true
		c.answer(o)
		c.runsOf(o, c.ledger.runs[o.call.AttemptID])
	}
	for id, runs := range c.ledger.runs {
		if !known[id] {
			c.broken("UNASKED", runs[0].StartedAt.Sub(c.ledger.started), "nobody asked for %q", id)
		}
	}
	c.loaded()
	c.signals()
	c.poisoned()
	c.recovered()
	return c.violations
}

// answer checks what a caller got.
func (c *check) answer(o *outcome) {
	settled := calm(c.steps, o.sent, o.ended, stable)
	switch {
	case o.unconnected() && o.ready && settled:
		c.broken("UNREACHABLE", o.ended, "%s at entry %d, which was ready: %v", o.call.AttemptID, o.entry, o.err)
	case o.unconnected():
		// An entry that is not ready may refuse connections: nothing was sent.
	case o.err != nil && settled:
		c.broken("LOST", o.ended, "%s at entry %d: %v", o.call.AttemptID, o.entry, o.err)
	case o.ended-o.sent > o.call.Timeout+answerSlack && settled:
		c.broken("LATE", o.ended, "%s had its answer after %v of %v", o.call.AttemptID, o.ended-o.sent, o.call.Timeout)
	}
	if o.err != nil {
		return
	}
	a := &o.answer
	switch a.Status {
	case http.StatusOK:
		c.success(o)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs := c.ledger.runs[o.call.AttemptID]; len(runs) > 0 && !o.route.repeatable() {
			c.broken("REFUSED", o.ended, "%s was answered %d and ran at %s", o.call.AttemptID, a.Status, runs[0].Server)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		c.broken("DENIED", o.ended, "%s was answered %d", o.call.AttemptID, a.Status)
	}
}

func (c *check) success(o *outcome) {
	a := &o.answer
	id := o.call.AttemptID
	if !a.Signed || a.AttemptID != id {
		c.broken("MIXED", o.ended, "%s got a success for %q, signed %t", id, a.AttemptID, a.Signed)
	}
	if !o.route.streams() {
		if a.Complete && a.Body != platformtest.ResponseBody(id) {
			c.broken("MIXED", o.ended, "%s got %q", id, a.Body)
		}
		return
	}
	first := o.call.LastEventID + 1
	for i, e := range a.Events {
		if e.ID != first+i || e.Data != platformtest.EventData(id, first+i) {
			c.broken("ORDER", o.ended, "%s got event %d %q in place of %d", id, e.ID, e.Data, first+i)
			return
		}
	}
	if a.Complete && first+len(a.Events) != eventsPerStream {
		c.broken("ORDER", o.ended, "%s ended as complete after %d of %d events", id, first+len(a.Events), eventsPerStream)
	}
	if !a.Complete && calm(c.steps, o.sent, o.ended, stable) {
		c.broken("LOST", o.ended, "%s at entry %d was broken off after %d events", id, o.entry, len(a.Events))
	}
}

// runsOf checks where a request ran.
func (c *check) runsOf(o *outcome, runs []platformtest.Run) {
	if len(runs) > 1 && !o.route.repeatable() {
		c.broken("TWICE", o.ended, "%s ran at %s and %s", o.call.AttemptID, runs[0].Server, runs[1].Server)
	}
	if len(runs) > o.route.MaxServers {
		c.broken("BUDGET", o.ended, "%s ran %d times of %d", o.call.AttemptID, len(runs), o.route.MaxServers)
	}
	for i := range runs {
		c.ran(o, &runs[i])
	}
}

func (c *check) ran(o *outcome, r *platformtest.Run) {
	at := r.StartedAt.Sub(c.ledger.started)
	if r.HasKey || r.Team != team || r.Target != o.call.Path || r.Body != o.call.Body {
		c.broken("UNASKED", at, "%s ran as %s for team %q, with its key: %t", r.AttemptID, r.Target, r.Team, r.HasKey)
	}
	if settled := calm(c.steps, max(0, o.sent-bounds.config()), at, stable); !settled {
		return
	}
	if o.route.Prefix == movingPrefix {
		newest := c.newest(c.ledger.configs, o.sent-bounds.config())
		if newest > 1 && r.Service == movingService(newest-1) && c.newest(c.ledger.configs, at) == newest {
			c.broken("CONFIG", at, "%s ran at %s, which configuration %d no longer allows", r.AttemptID, r.Service, newest)
		}
	}
	if least := c.newest(c.ledger.weights, at-bounds.version()); r.Version > 0 && r.Version < least && calm(c.steps, max(0, at-bounds.version()), at, stable) {
		c.broken("VERSION", at, "%s ran on version %d, declared was %d", r.AttemptID, r.Version, least)
	}
	if left, leaves := c.ledger.left[r.Server]; leaves && at > left+bounds.drain() {
		c.broken("DRAIN", at, "%s ran at %s, which had told %v before that it leaves", r.AttemptID, r.Server, at-left)
	}
}

// newest returns the newest version that was declared by a moment, or zero.
func (c *check) newest(list []declared, at time.Duration) int {
	version := 0
	for _, d := range list {
		if d.at <= at {
			version = d.version
		}
	}
	return version
}

func (c *check) loaded() {
	for _, l := range c.ledger.loads {
		if l.whole {
			continue
		}
		excused := false
		for _, at := range c.ledger.rotten {
			excused = excused || at <= l.at && l.at-at < rotExcuse
		}
		if !excused {
			c.broken("WHOLE", l.at, "%s loads version %d with wrong or missing pieces", l.server, l.version)
		}
	}
}

// recovered checks that requests are served once the last step has ended and
// the time to recover is over.
func (c *check) recovered() {
	type count struct{ all, served int }
	perRoute := make(map[string]*count)
	for i := range c.ledger.outcomes {
		o := &c.ledger.outcomes[i]
		if o.sent < c.busy+recoverTime || o.sent > c.end-o.call.Timeout {
			continue
		}
		n := perRoute[o.route.Prefix]
		if n == nil {
			n = &count{}
			perRoute[o.route.Prefix] = n
		}
		n.all++
		if o.err == nil && o.answer.Status == http.StatusOK && o.answer.Complete {
			n.served++
		}
	}
	for _, r := range routes {
		if n := perRoute[r.Prefix]; n == nil || 4*n.served < n.all {
			c.broken("RECOVER", c.end, "%s: %+v served after the recovery", r.Prefix, n)
		}
	}
}
