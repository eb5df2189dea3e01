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

// entry is an entry process.
type entry struct {
	sim    *simulation
	id     int
	ledger *claim.Ledger
	budget *attempt.Budget
	active []*activeRequest
}

// activeRequest is a request that an entry has accepted.
type activeRequest struct {
	submission   *submission
	machine      *attempt.Machine
	pending      *attempt.Step // next step to perform, if any
	buffer       []byte
	claimID      model.AttemptID
	undispatched model.AttemptID // claimed but not dispatched yet
	agent        *agent
	generation   model.Generation
}

func newEntry(sim *simulation, i int) *entry {
	e := &entry{sim: sim, id: i, budget: attempt.NewBudget(attempt.BudgetConfig{})}
	e.ledger = newLedger(sim)
	return e
}

func (e *entry) accept(sub *submission, timeout time.Duration) {
	r := &activeRequest{submission: sub, machine: attempt.New(attempt.Config{}, attempt.Request{
		ID: model.RequestID(sub.body), Tenant: "t", Deadline: e.sim.now.Add(timeout),
		Repeatable: sub.kind.repeatable, Buffered: !sub.kind.repeatable, Continue: sub.kind.continues,
	}, e.budget)}
	e.active = append(e.active, r)
	e.applyStep(r, r.machine.Queued(e.sim.now), nil)
}

func (e *entry) applyStep(r *activeRequest, s attempt.Step, data []byte) {
	if s.Discard {
		r.buffer = nil
	}
	if s.Forward {
		if r.submission.kind.repeatable {
			r.submission.received = append(r.submission.received, data[s.SkipBytes:]...)
		} else {
			r.buffer = append(r.buffer, data[s.SkipBytes:]...)
		}
	}
	if s.Cancel != "" {
		e.sim.connection(e, r.agent).sendToAgent(&wire.RequestCancel{Attempt: s.Cancel})
	}
	switch s.Action {
	case attempt.ActionDispatch, attempt.ActionReattach:
		r.pending = &s
	case attempt.ActionFinish:
		if !s.OutcomePending {
			r.pending = nil
		}
		r.respond(e.sim, s.Outcome, s.Reason)
		if !s.OutcomePending {
			e.settleClaim(r, s)
		}
	case attempt.ActionRecord:
		r.pending = nil
		e.settleClaim(r, s)
	}
}

func (r *activeRequest) respond(sim *simulation, o outcome.Outcome, reason outcome.Reason) {
	if r.submission.answered {
		panic("submission answered twice")
	}
	r.submission.answered, r.submission.outcome, r.submission.reason = true, o, reason
	sim.t.Logf("caller of %s gets outcome %s, reason %s", r.submission.body, o, reason)
	if o == outcome.Completed && !r.submission.kind.repeatable {
		r.submission.received = r.buffer
	}
}

// performStep performs the pending step of a request. Other actions may happen
// between two steps, as when an entry is paused or crashes.
func (e *entry) performStep(r *activeRequest) {
	s := *r.pending
	if s.Action == attempt.ActionReattach {
		r.pending = nil
		e.reattach(r, s)
		return
	}
	if r.submission.kind.keyed && r.claimID == "" {
		e.claim(r)
		return
	}
	a := e.chooseAgent(s)
	if a == nil {
		e.applyStep(r, r.machine.NotAdmitted(e.sim.now, outcome.ReasonNoBackendServer, 0), nil)
		return
	}
	id := r.undispatched
	if r.undispatched = ""; id == "" {
		id = e.sim.newAttempt(r.submission)
	}
	weights := model.Weights{}
	if r.submission.kind.repeatable {
		weights = a.live
	}
	r.pending = nil
	next := r.machine.Dispatched(e.sim.now, attempt.Dispatch{Attempt: id, Instance: a.id, Weights: weights})
	if next.Action == attempt.ActionFinish {
		e.applyStep(r, next, nil)
		return
	}
	r.agent, r.generation = a, a.generation
	if s.Pinned {
		e.sim.continuedStreams++
	}
	e.sim.connection(e, a).sendToAgent(&wire.RequestStart{
		Attempt: id, Weights: weights, Repeatable: r.submission.kind.repeatable, Body: []byte(r.submission.body),
		RemainingMillis: r.machine.Remaining(e.sim.now).Milliseconds(), Hop: r.machine.Hop(),
	})
}

// chooseAgent picks an instance. One time in four it ignores that a continued stream
// is pinned to its weights, as an entry with a stale view would.
func (e *entry) chooseAgent(s attempt.Step) *agent {
	s.Pinned = s.Pinned && !e.sim.chance("stale view", 4)
	a := e.sim.agents[e.sim.draw("instance", len(e.sim.agents))]
	for range e.sim.agents {
		if !s.Pinned || a.live == s.Weights {
			return a
		}
		a = e.sim.agents[(int(a.id[len(a.id)-1]-'0')+1)%len(e.sim.agents)]
	}
	return nil
}

func (e *entry) reattach(r *activeRequest, s attempt.Step) {
	now, id := e.sim.now, r.machine.Attempt()
	switch {
	case r.agent.generation != r.generation:
		e.applyStep(r, r.machine.ServerCrashed(now, id), nil)
	case e.sim.chance("reattach fails", 6):
		e.applyStep(r, r.machine.ReattachFailed(now, id), nil)
	default:
		e.sim.connection(e, r.agent).sendToAgent(&wire.Reattach{Attempt: s.Attempt, NextSequence: s.NextSequence})
		e.applyStep(r, r.machine.Reattached(now, id), nil)
	}
}

func (e *entry) handle(m wire.Message) {
	switch m := m.(type) {
	case *wire.RequestRefused:
		e.forEachCandidate(m.Attempt, func(r *activeRequest) {
			e.applyStep(r, r.machine.Refused(e.sim.now, m.Attempt, m.Reason, time.Duration(m.RetryAfterMillis)*time.Millisecond), nil)
		})
	case *wire.ResponseFrame:
		e.forEachCandidate(m.Attempt, func(r *activeRequest) {
			e.applyStep(r, r.machine.Frame(e.sim.now, m.Attempt, m.Sequence, m.Data), m.Data)
			e.sim.connection(e, r.agent).sendToAgent(&wire.ResponseAck{Attempt: m.Attempt, NextSequence: r.machine.NextSequence()})
		})
	case *wire.ResponseEnd:
		e.forEachCandidate(m.Attempt, func(r *activeRequest) { e.applyStep(r, r.machine.End(e.sim.now, m), nil) })
	default:
		panic(fmt.Sprintf("entry received unexpected message %T", m))
	}
}

// forEachCandidate calls handle for every request that ever had the attempt id. This
// is the worst case of a lookup by a reused or wrong id: the state machines must
// ignore messages of other attempts.
func (e *entry) forEachCandidate(id model.AttemptID, handle func(*activeRequest)) {
	for _, r := range e.active {
		if r.agent != nil && (r.machine.Attempt() == id || r.submission.attempts[id]) {
			handle(r)
		}
	}
}

// connectionLost closes a connection at the entry.
func (e *entry) connectionLost(c *conn) {
	c.closed = true
	for _, r := range e.active {
		if r.agent == c.agent {
			e.applyStep(r, r.machine.ConnectionLost(e.sim.now, r.machine.Attempt()), nil)
		}
	}
}

// crash ends the process and replaces it: callers without a final answer get a
// connection error.
func (e *entry) crash() {
	e.sim.t.Logf("entry %d crashes", e.id)
	for _, r := range e.active {
		r.submission.connectionError = r.submission.connectionError || !r.submission.answered
	}
	for _, c := range e.sim.conns {
		c.closed = c.closed || c.entry == e
	}
	*e = *newEntry(e.sim, e.id)
}
