package requestsim

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// agent is one agent process with its backend server.
type agent struct {
	w          *world
	id         model.InstanceID
	generation model.Generation
	core       *gate.Core
	live       model.Weights
	serving    []*served // in order of admission
}

// served is one admitted attempt.
type served struct {
	run    *run
	link   *link
	cursor uint64
	ended  bool
}

func newAgent(w *world, i int, live model.Weights) *agent {
	a := &agent{w: w, id: model.InstanceID(fmt.Sprintf("agent-%d", i)), live: live}
	a.restart()
	return a
}

// restart replaces the process: all it knew is lost, and its runs end.
func (a *agent) restart() {
	a.generation = model.Generation(a.w.number())
	a.core = gate.NewCore(gate.Config{Capacity: 3, ReplayBytes: 64}, nil)
	a.core.SetLive([]model.Weights{a.live, {}})
	a.serving = nil
	for _, l := range a.w.links {
		if l.agent == a {
			l.toAgent, l.toEntry, l.silent = nil, nil, true
		}
	}
}

func (a *agent) find(id model.AttemptID) *served {
	for _, s := range a.serving {
		if s.run.attempt == id {
			return s
		}
	}
	return nil
}

func (a *agent) handle(l *link, m wire.Message) {
	switch m := m.(type) {
	case *wire.RequestStart:
		switch ad := a.core.Admit(a.w.now, m); ad.Decision {
		case gate.Refuse:
			l.sendToEntry(ad.Refusal)
		case gate.Admit:
			r := &run{ask: a.w.owner[m.Attempt], attempt: m.Attempt}
			r.text = a.w.answerText(r.ask, m.Weights, len(a.w.runs))
			a.w.runs = append(a.w.runs, r)
			a.serving = append(a.serving, &served{run: r, link: l})
		}
	case *wire.Reattach:
		if reply := a.core.Reattach(a.w.now, m); reply != nil {
			l.sendToEntry(reply)
			return
		}
		s := a.find(m.Attempt)
		s.link, s.cursor = l, m.NextSequence
		a.pump(s)
	case *wire.ResponseAck:
		a.core.Ack(m.Attempt, m.NextSequence)
	case *wire.RequestCancel:
		if a.core.Cancel(a.w.now, m.Attempt) {
			a.end(a.find(m.Attempt), outcome.Unknown, outcome.ReasonCanceled, 0)
		}
	}
}

// pump sends what the core has for an attempt.
func (a *agent) pump(s *served) {
	for s.link != nil && s.cursor <= a.core.FrameCount(s.run.attempt) {
		m := a.core.MessageAt(s.run.attempt, s.cursor)
		if m == nil {
			return
		}
		s.link.sendToEntry(m)
		s.cursor++
	}
}

// emit produces a piece of the answer, or its end when all was said.
func (a *agent) emit(s *served, size int) {
	rest := s.run.text[s.run.emitted:]
	if len(rest) == 0 {
		a.end(s, outcome.Completed, outcome.ReasonNone, 200)
		return
	}
	piece := rest[:min(size, len(rest))]
	if a.core.AppendFrame(a.w.now, s.run.attempt, piece) {
		s.run.emitted += len(piece)
		a.pump(s)
	}
}

func (a *agent) end(s *served, o outcome.Outcome, reason outcome.Reason, status int) {
	if s.ended {
		return
	}
	s.ended = true
	a.core.End(a.w.now, s.run.attempt, o, reason, status, "")
	a.pump(s)
}

// crashEngine ends all runs; the agent survives.
func (a *agent) crashEngine() {
	for _, s := range a.serving {
		a.end(s, outcome.Unknown, outcome.ReasonBackendCrashed, 0)
	}
	a.core.CrashReport(a.w.now, 1)
}

// tick does what the shell does once a second.
func (a *agent) tick() {
	for _, id := range a.core.Expire(a.w.now) {
		a.end(a.find(id), outcome.Unknown, outcome.ReasonCanceled, 0)
	}
}

// lose tells the core that a connection is dead.
func (a *agent) lose(l *link, now time.Time) {
	for _, s := range a.serving {
		if s.link == l {
			s.link = nil
			a.core.Detach(now, s.run.attempt)
		}
	}
}

// switchTo replaces the weights, as the shell does once nothing runs.
func (a *agent) switchTo(live model.Weights) {
	if a.core.Running() == 0 {
		a.live = live
		a.core.SetLive([]model.Weights{live, {}})
	}
}
