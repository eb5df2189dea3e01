package requestsim

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Guards against wrong, mixed-up or truncated responses that are reported as
// completed, runs of requests that were reported as not_run, second runs of
// non-repeatable requests, and keys that are refused forever.
var _ = Describe("requests under faults", func() {
	It("reports to callers only outcomes that are true and stay true", func() {
		var total stats
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			sim := newSimulation(t)
			t.Repeat(sim.actions())
			sim.checkKeysUsable()
			total.add(sim)
		})
		GinkgoWriter.Println(total)
	})
})

func (sim *simulation) actions() map[string]func(*rapid.T) {
	actions := map[string]func(){
		"submit":        sim.submit,
		"send again":    sim.resubmit,
		"entry step":    sim.stepEntries,
		"entry step 2":  sim.stepEntries,
		"to agent":      func() { sim.deliver(true) },
		"to agent 2":    func() { sim.deliver(true) },
		"to entry":      func() { sim.deliver(false) },
		"to entry 2":    func() { sim.deliver(false) },
		"late copy":     sim.deliverDelayedStart,
		"drain queues":  sim.deliverMany,
		"work":          sim.emitOnce,
		"work much":     sim.emitMany,
		"swap":          sim.swapMessages,
		"silence":       sim.blackholeConn,
		"close":         sim.closeConn,
		"store":         sim.changeStoreFault,
		"land":          sim.table.ApplyDelayed,
		"time":          sim.advanceTime,
		"sweep":         func() { sim.entries[sim.draw("entry", entryCount)].ledger.RetryPending(sim.ctx, 10) },
		"entry dies":    sim.crashEntry,
		"agent dies":    sim.restartAgent,
		"engine dies":   sim.crashEngine,
		"work much 2":   sim.emitMany,
		"drain queue 2": sim.deliverMany,
		"long pause":    sim.pauseEntries,
		"switch":        func() { sim.agents[sim.draw("agent", agentCount)].switchWeights(sim.weights[sim.draw("weights", 2)]) },
		"caller leaves": sim.cancelRequest,
	}
	out := map[string]func(*rapid.T){"": func(t *rapid.T) { sim.t = t; sim.check() }}
	for name, action := range actions {
		out[name] = func(t *rapid.T) { sim.t = t; action() }
	}
	return out
}

func (sim *simulation) submit() {
	if len(sim.submissions) >= maxSubmissions {
		return
	}
	k := requestKinds[sim.draw("kind", len(requestKinds))]
	sub := &submission{kind: k, body: fmt.Sprintf("%s-%d", k.name, sim.nextSerial())}
	if k.keyed {
		sub.key = sub.body
	}
	sim.send(sub)
}

// resubmit sends a request with a key again, to any entry, after an earlier
// submission was answered or ended with a connection error.
func (sim *simulation) resubmit() {
	var candidates []*submission
	for _, sub := range sim.submissions {
		if sub.key != "" && (sub.connectionError || sub.answered) {
			candidates = append(candidates, sub)
		}
	}
	if len(candidates) == 0 || len(sim.submissions) >= maxSubmissions {
		return
	}
	old := candidates[sim.draw("ask", len(candidates))]
	sim.send(&submission{kind: old.kind, key: old.key, body: old.body, proofs: sim.proofs(old.key)})
}

func (sim *simulation) send(sub *submission) {
	sub.attempts = make(map[attemptID]bool)
	sim.submissions = append(sim.submissions, sub)
	timeout := time.Duration(1+sim.draw("timeout", 30)) * time.Second
	sim.entries[sim.draw("entry", entryCount)].accept(sub, timeout)
}

func (sim *simulation) stepEntries() {
	for range 3 {
		var pending []*activeRequest
		var owners []*entry
		for _, e := range sim.entries {
			for _, r := range e.active {
				if r.pending != nil {
					pending, owners = append(pending, r), append(owners, e)
				}
			}
		}
		if len(pending) == 0 {
			return
		}
		i := sim.draw("request", len(pending))
		owners[i].performStep(pending[i])
	}
}

func (sim *simulation) deliver(toAgent bool) {
	conns := sim.connsWithMessages(toAgent)
	if len(conns) == 0 {
		return
	}
	c := conns[sim.draw("link", len(conns))]
	duplicate := sim.chance("duplicate", 8)
	if toAgent {
		m := c.toAgent[0]
		if start, ok := m.(*wire.RequestStart); ok && sim.chance("late copy", 3) {
			sim.delayedStarts = append(sim.delayedStarts, delayedStart{c, c.agent.generation, start})
		}
		if !duplicate {
			c.toAgent = c.toAgent[1:]
		}
		c.agent.handle(c, m)
		return
	}
	m := c.toEntry[0]
	if !duplicate {
		c.toEntry = c.toEntry[1:]
	}
	c.entry.handle(m)
}

// deliverDelayedStart delivers a second copy of a RequestStart at any later time,
// as long as the agent process that it was sent to is still running.
func (sim *simulation) deliverDelayedStart() {
	if len(sim.delayedStarts) == 0 {
		return
	}
	d := sim.delayedStarts[sim.draw("copy", len(sim.delayedStarts))]
	if d.generation == d.conn.agent.generation {
		d.conn.agent.handle(d.conn, d.start)
	}
}

// deliverMany delivers several messages at once, so that many requests reach their
// end.
func (sim *simulation) deliverMany() {
	for range 12 {
		sim.deliver(true)
		sim.deliver(false)
	}
}

func (sim *simulation) emitOnce() {
	a := sim.agents[sim.draw("agent", agentCount)]
	var active []*servedAttempt
	for _, s := range a.attempts {
		if !s.ended {
			active = append(active, s)
		}
	}
	if len(active) == 0 {
		return
	}
	s := active[sim.draw("attempt", len(active))]
	if sim.chance("backend error", 60) {
		a.end(s, outcome.Failed, outcome.ReasonBackendError, 500)
		return
	}
	a.emit(s, 1+sim.draw("size", 12))
}

func (sim *simulation) emitMany() {
	for range 16 {
		sim.emitOnce()
	}
}
