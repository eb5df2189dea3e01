package requestsim

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// entry is one entry process.
type entry struct {
	w      *world
	id     int
	ledger *claim.Ledger
	budget *attempt.Budget
	live   []*live
}

// live is one request at an entry.
type live struct {
	ask        *ask
	machine    *attempt.Machine
	pending    *attempt.Step // what the entry has yet to do
	buffer     []byte
	claimID    model.AttemptID
	unused     model.AttemptID // claimed and not dispatched yet
	agent      *agent
	generation model.Generation
}

func newEntry(w *world, i int) *entry {
	e := &entry{w: w, id: i, budget: attempt.NewBudget(attempt.BudgetConfig{})}
	e.ledger = newLedger(w)
	return e
}

func (e *entry) accept(a *ask, timeout time.Duration) {
	l := &live{ask: a, machine: attempt.New(attempt.Config{}, attempt.Request{
		ID: model.RequestID(a.body), Tenant: "t", Deadline: e.w.now.Add(timeout),
		Repeatable: a.kind.repeatable, Buffered: !a.kind.repeatable, Continue: a.kind.continues,
	}, e.budget)}
	e.live = append(e.live, l)
	e.apply(l, l.machine.Queued(e.w.now), nil)
}

func (e *entry) apply(l *live, s attempt.Step, data []byte) {
	if s.Discard {
		l.buffer = nil
	}
	if s.Forward {
		if l.ask.kind.repeatable {
			l.ask.received = append(l.ask.received, data[s.SkipBytes:]...)
		} else {
			l.buffer = append(l.buffer, data[s.SkipBytes:]...)
		}
	}
	if s.Cancel != "" {
		e.w.connection(e, l.agent).sendToAgent(&wire.RequestCancel{Attempt: s.Cancel})
	}
	switch s.Action {
	case attempt.ActionDispatch, attempt.ActionReattach:
		l.pending = &s
	case attempt.ActionFinish:
		if !s.OutcomePending {
			l.pending = nil
		}
		l.tell(e.w, s.Outcome, s.Reason)
		if !s.OutcomePending {
			e.settle(l, s)
		}
	case attempt.ActionRecord:
		l.pending = nil
		e.settle(l, s)
	}
}

func (l *live) tell(w *world, o outcome.Outcome, reason outcome.Reason) {
	if l.ask.told {
		panic("told twice")
	}
	l.ask.told, l.ask.outcome, l.ask.reason = true, o, reason
	w.t.Logf("caller of %s is told %s (%s)", l.ask.body, o, reason)
	if o == outcome.Completed && !l.ask.kind.repeatable {
		l.ask.received = l.buffer
	}
}

// step does the next thing that the entry has to do for a request. Whatever
// happens between two steps is what a paused or dying entry meets.
func (e *entry) step(l *live) {
	s := *l.pending
	if s.Action == attempt.ActionReattach {
		l.pending = nil
		e.reattach(l, s)
		return
	}
	if l.ask.kind.keyed && l.claimID == "" {
		e.claim(l)
		return
	}
	a := e.choose(s)
	if a == nil {
		e.apply(l, l.machine.NotAdmitted(e.w.now, outcome.ReasonNoBackendServer, 0), nil)
		return
	}
	id := l.unused
	if l.unused = ""; id == "" {
		id = e.w.newAttempt(l.ask)
	}
	weights := model.Weights{}
	if l.ask.kind.repeatable {
		weights = a.live
	}
	l.pending = nil
	next := l.machine.Dispatched(e.w.now, attempt.Dispatch{Attempt: id, Instance: a.id, Weights: weights})
	if next.Action == attempt.ActionFinish {
		e.apply(l, next, nil)
		return
	}
	l.agent, l.generation = a, a.generation
	if s.Pinned {
		e.w.continued++
	}
	e.w.connection(e, a).sendToAgent(&wire.RequestStart{
		Attempt: id, Weights: weights, Repeatable: l.ask.kind.repeatable, Body: []byte(l.ask.body),
		RemainingMillis: l.machine.Remaining(e.w.now).Milliseconds(), Hop: l.machine.Hop(),
	})
}

// choose picks an instance. Now and then it ignores the pin of a continued
// stream, as an entry with a stale view would.
func (e *entry) choose(s attempt.Step) *agent {
	s.Pinned = s.Pinned && !e.w.chance("stale view", 4)
	a := e.w.agents[e.w.pick("instance", len(e.w.agents))]
	for range e.w.agents {
		if !s.Pinned || a.live == s.Weights {
			return a
		}
		a = e.w.agents[(int(a.id[len(a.id)-1]-'0')+1)%len(e.w.agents)]
	}
	return nil
}

func (e *entry) reattach(l *live, s attempt.Step) {
	now, id := e.w.now, l.machine.Attempt()
	switch {
	case l.agent.generation != l.generation:
		e.apply(l, l.machine.ServerCrashed(now, id), nil)
	case e.w.chance("reattach fails", 6):
		e.apply(l, l.machine.ReattachFailed(now, id), nil)
	default:
		e.w.connection(e, l.agent).sendToAgent(&wire.Reattach{Attempt: s.Attempt, NextSequence: s.NextSequence})
		e.apply(l, l.machine.Reattached(now, id), nil)
	}
}

func (e *entry) handle(m wire.Message) {
	switch m := m.(type) {
	case *wire.RequestRefused:
		e.each(m.Attempt, func(l *live) {
			e.apply(l, l.machine.Refused(e.w.now, m.Attempt, m.Reason, time.Duration(m.RetryAfterMillis)*time.Millisecond), nil)
		})
	case *wire.ResponseFrame:
		e.each(m.Attempt, func(l *live) {
			e.apply(l, l.machine.Frame(e.w.now, m.Attempt, m.Sequence, m.Data), m.Data)
			e.w.connection(e, l.agent).sendToAgent(&wire.ResponseAck{Attempt: m.Attempt, NextSequence: l.machine.NextSequence()})
		})
	case *wire.ResponseEnd:
		e.each(m.Attempt, func(l *live) { e.apply(l, l.machine.End(e.w.now, m), nil) })
	default:
		panic(fmt.Sprintf("entry got %T", m))
	}
}

// each passes a message to every request, as a lookup by a reused or crossed id
// would at worst: the machines tell which it is for.
func (e *entry) each(id model.AttemptID, handle func(*live)) {
	for _, l := range e.live {
		if l.agent != nil && (l.machine.Attempt() == id || l.ask.attempts[id]) {
			handle(l)
		}
	}
}

// lose closes a connection at the entry.
func (e *entry) lose(c *link) {
	c.closed = true
	for _, l := range e.live {
		if l.agent == c.agent {
			e.apply(l, l.machine.ConnectionLost(e.w.now, l.machine.Attempt()), nil)
		}
	}
}

// die ends the process: callers with no final answer get a connection error.
func (e *entry) die() {
	e.w.t.Logf("entry %d dies", e.id)
	for _, l := range e.live {
		l.ask.broken = l.ask.broken || !l.ask.told
	}
	for _, c := range e.w.links {
		c.closed = c.closed || c.entry == e
	}
	*e = *newEntry(e.w, e.id)
}
