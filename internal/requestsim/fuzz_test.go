package requestsim

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Guards against wrong, crossed or truncated answers reported complete, runs
// after not_run, second runs of non-repeatable requests and keys that stay
// refused.
var _ = Describe("requests under faults", func() {
	It("keeps what callers were told true", func() {
		var stats tally
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(t)
			t.Repeat(w.actions())
			w.checkKeysUsable()
			stats.add(w)
		})
		GinkgoWriter.Println(stats)
	})
})

func (w *world) actions() map[string]func(*rapid.T) {
	acts := map[string]func(){
		"submit":        w.submit,
		"send again":    w.sendAgain,
		"entry step":    w.entryStep,
		"entry step 2":  w.entryStep,
		"to agent":      func() { w.deliver(true) },
		"to agent 2":    func() { w.deliver(true) },
		"to entry":      func() { w.deliver(false) },
		"to entry 2":    func() { w.deliver(false) },
		"late copy":     w.deliverCopy,
		"drain queues":  w.deliverMuch,
		"work":          w.work,
		"work much":     w.workMuch,
		"swap":          w.swap,
		"silence":       w.silence,
		"close":         w.closeLink,
		"store":         w.changeStore,
		"land":          w.table.ApplyDelayed,
		"time":          w.pass,
		"sweep":         func() { w.entries[w.pick("entry", entryCount)].ledger.RetryPending(w.ctx, 10) },
		"entry dies":    w.entryDies,
		"agent dies":    w.agentDies,
		"engine dies":   w.engineDies,
		"work much 2":   w.workMuch,
		"drain queue 2": w.deliverMuch,
		"long pause":    w.longPause,
		"switch":        func() { w.agents[w.pick("agent", agentCount)].switchTo(w.weights[w.pick("weights", 2)]) },
		"caller leaves": w.callerLeaves,
	}
	out := map[string]func(*rapid.T){"": func(t *rapid.T) { w.t = t; w.check() }}
	for name, act := range acts {
		out[name] = func(t *rapid.T) { w.t = t; act() }
	}
	return out
}

func (w *world) submit() {
	if len(w.asks) >= maxAsks {
		return
	}
	k := kinds[w.pick("kind", len(kinds))]
	a := &ask{kind: k, body: fmt.Sprintf("%s-%d", k.name, w.number())}
	if k.keyed {
		a.key = a.body
	}
	w.send(a)
}

// sendAgain is a caller that has no result and sends the same key, to any entry.
func (w *world) sendAgain() {
	var again []*ask
	for _, a := range w.asks {
		if a.key != "" && (a.broken || a.told) {
			again = append(again, a)
		}
	}
	if len(again) == 0 || len(w.asks) >= maxAsks {
		return
	}
	old := again[w.pick("ask", len(again))]
	w.send(&ask{kind: old.kind, key: old.key, body: old.body, proofs: w.proofs(old.key)})
}

func (w *world) send(a *ask) {
	a.attempts = make(map[attemptID]bool)
	w.asks = append(w.asks, a)
	timeout := time.Duration(1+w.pick("timeout", 30)) * time.Second
	w.entries[w.pick("entry", entryCount)].accept(a, timeout)
}

func (w *world) entryStep() {
	for range 3 {
		var todo []*live
		var owners []*entry
		for _, e := range w.entries {
			for _, l := range e.live {
				if l.pending != nil {
					todo, owners = append(todo, l), append(owners, e)
				}
			}
		}
		if len(todo) == 0 {
			return
		}
		i := w.pick("request", len(todo))
		owners[i].step(todo[i])
	}
}

func (w *world) deliver(toAgent bool) {
	busy := w.busy(toAgent)
	if len(busy) == 0 {
		return
	}
	l := busy[w.pick("link", len(busy))]
	duplicate := w.chance("duplicate", 8)
	if toAgent {
		m := l.toAgent[0]
		if start, ok := m.(*wire.RequestStart); ok && w.chance("late copy", 3) {
			w.copies = append(w.copies, lateCopy{l, l.agent.generation, start})
		}
		if !duplicate {
			l.toAgent = l.toAgent[1:]
		}
		l.agent.handle(l, m)
		return
	}
	m := l.toEntry[0]
	if !duplicate {
		l.toEntry = l.toEntry[1:]
	}
	l.entry.handle(m)
}

// deliverCopy delivers a RequestStart once more, at any later time.
func (w *world) deliverCopy() {
	if len(w.copies) == 0 {
		return
	}
	c := w.copies[w.pick("copy", len(w.copies))]
	if c.generation == c.link.agent.generation {
		c.link.agent.handle(c.link, c.start)
	}
}

// deliverMuch lets the network catch up, so that many requests reach their end.
func (w *world) deliverMuch() {
	for range 12 {
		w.deliver(true)
		w.deliver(false)
	}
}

func (w *world) work() {
	a := w.agents[w.pick("agent", agentCount)]
	var active []*served
	for _, s := range a.serving {
		if !s.ended {
			active = append(active, s)
		}
	}
	if len(active) == 0 {
		return
	}
	s := active[w.pick("attempt", len(active))]
	if w.chance("backend error", 60) {
		a.end(s, outcome.Failed, outcome.ReasonBackendError, 500)
		return
	}
	a.emit(s, 1+w.pick("size", 12))
}

func (w *world) workMuch() {
	for range 16 {
		w.work()
	}
}
