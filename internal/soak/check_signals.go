package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/platform/platformtest"
)

const (
	// pauseNotice is the time after a server's request for a pause in which requests may
	// cross it, and allowedInPause the number of later ones that an entry may send.
	pauseNotice    = 500 * time.Millisecond
	allowedInPause = 2
	// poisonServers is the number of servers that one request may end before its runs
	// count, and allowedPoisonRuns that of later runs.
	poisonServers     = 3
	allowedPoisonRuns = 3
)

// wishes checks that servers which leave, or want a pause, are left alone.
func (c *check) signals() {
	outcomes := make(map[string]*outcome, len(c.ledger.outcomes))
	for i := range c.ledger.outcomes {
		o := &c.ledger.outcomes[i]
		outcomes[o.call.AttemptID] = o
	}
	arrivals := make(map[string][]serverEvent)
	for _, e := range c.ledger.events {
		if e.kind == eventArrived {
			arrivals[e.server] = append(arrivals[e.server], e)
		}
	}
	for _, e := range c.ledger.events {
		o := outcomes[e.attempt]
		switch {
		case o == nil:
		case e.kind == eventLeaving:
			c.left(e, o, arrivals[e.server], outcomes)
		case e.kind == eventPause:
			c.paused(e, o, arrivals[e.server], outcomes)
		}
	}
}

// left checks what an entry sends to a server after it has passed on an answer that
// tells that the server leaves.
func (c *check) left(e serverEvent, o *outcome, arrivals []serverEvent, outcomes map[string]*outcome) {
	if o.err != nil || o.answer.Status != http.StatusOK || !o.answer.Complete {
		return
	}
	for _, a := range arrivals {
		later := outcomes[a.attempt]
		if later == nil || later.entry != o.entry || later.sent <= o.ended+bounds.drain() || c.restarted(o.entry, o.ended, a.at) {
			continue
		}
		c.broken("DRAIN", a.at, "%s reached %s, which had told entry %d %v before that it leaves", a.attempt, e.server, o.entry, a.at-o.ended)
	}
}

// paused checks what an entry sends to a server that wants nothing from it.
func (c *check) paused(e serverEvent, o *outcome, arrivals []serverEvent, outcomes map[string]*outcome) {
	end := e.at + e.pause
	if !calm(c.steps, e.at-pauseNotice, end, 0) || c.restarted(o.entry, e.at, end) {
		return
	}
	sent := 0
	for _, a := range arrivals {
		if later := outcomes[a.attempt]; later != nil && later.entry == o.entry && a.at > e.at+pauseNotice && a.at < end {
			sent++
		}
	}
	if sent > allowedInPause {
		c.broken("BUDGET", end, "%d requests reached %s in a pause that it had asked of entry %d", sent, e.server, o.entry)
	}
}

// restarted reports whether an entry was ended or paused between two moments.
func (c *check) restarted(entry int, from, to time.Duration) bool {
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
		if s.Start <= to && s.Start+s.Duration+stopTime >= from {
			return true
		}
	}
	return false
}

// stopTime is how long a stopped entry may go on.
const stopTime = 8 * time.Second

// poisoned checks that a request which ends servers is not sent on.
func (c *check) poisoned() {
	var runs []platformtest.Run
	for _, of := range c.ledger.runs {
		for _, r := range of {
			if r.Body == poisonBody {
				runs = append(runs, r)
			}
		}
	}
	for _, target := range targetsOf(runs) {
		c.poisonedAt(target, runs)
	}
}

func (c *check) poisonedAt(target string, runs []platformtest.Run) {
	var moments []time.Duration
	for _, r := range runs {
		if r.Target == target {
			moments = append(moments, r.StartedAt.Sub(c.ledger.started))
		}
	}
	slices.Sort(moments)
	late := 0
	for i, at := range moments {
		if i >= poisonServers && at > moments[poisonServers-1]+stable && calm(c.otherSteps(), at-stable, at, 0) {
			late++
		}
	}
	if late > allowedPoisonRuns {
		c.broken("BUDGET", moments[len(moments)-1], "%s reached servers %d times after it had ended three", target, late)
	}
}

// otherSteps are the steps but those that ask for what ends servers.
func (c *check) otherSteps() []Step {
	var others []Step
	for _, s := range c.steps {
		if s.Kind != SendPoison {
			others = append(others, s)
		}
	}
	return others
}

func targetsOf(runs []platformtest.Run) []string {
	var targets []string
	for _, r := range runs {
		if !slices.Contains(targets, r.Target) {
			targets = append(targets, r.Target)
		}
	}
	return targets
}
