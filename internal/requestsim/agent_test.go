package requestsim

import (
	"fmt"
	"time"

	"github.com/auburnbend/auburnbend/agent/gate"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// agent is an agent process with its backend server.
type agent struct {
	sim        *simulation
	id         model.InstanceID
	generation model.Generation
	core       *gate.Core
	live       model.Weights
	attempts   []*servedAttempt // in order of admission
}

// servedAttempt is an admitted attempt.
type servedAttempt struct {
	run          *run
	conn         *conn  // nil while detached
	nextSequence uint64 // sequence number of the next frame to send
	ended        bool
}

func newAgent(sim *simulation, i int, live model.Weights) *agent {
	a := &agent{sim: sim, id: model.InstanceID(fmt.Sprintf("agent-%d", i)), live: live}
	a.restart()
	return a
}

// restart replaces the process: its state is lost, and its runs end.
func (a *agent) restart() {
	a.generation = model.Generation(a.sim.nextSerial())
	a.core = gate.NewCore(gate.Config{Capacity: 3, ReplayBytes: 64}, nil)
	a.core.SetLive([]model.Weights{a.live, {}})
	a.attempts = nil
	for _, c := range a.sim.conns {
		if c.agent == a {
			c.toAgent, c.toEntry, c.blackholed = nil, nil, true
		}
	}
}

func (a *agent) find(id model.AttemptID) *servedAttempt {
	for _, s := range a.attempts {
		if s.run.attempt == id {
			return s
		}
	}
	return nil
}

func (a *agent) handle(c *conn, m wire.Message) {
	switch m := m.(type) {
	case *wire.RequestStart:
		switch ad := a.core.Admit(a.sim.now, m); ad.Decision {
		case gate.Refuse:
			c.sendToEntry(ad.Refusal)
		case gate.Admit:
			r := &run{submission: a.sim.submissionOf[m.Attempt], attempt: m.Attempt}
			r.response = a.sim.response(r.submission, m.Weights, len(a.sim.runs))
			a.sim.runs = append(a.sim.runs, r)
			a.attempts = append(a.attempts, &servedAttempt{run: r, conn: c})
		}
	case *wire.Reattach:
		if reply := a.core.Reattach(a.sim.now, m); reply != nil {
			c.sendToEntry(reply)
			return
		}
		s := a.find(m.Attempt)
		s.conn, s.nextSequence = c, m.NextSequence
		a.sendFrames(s)
	case *wire.ResponseAck:
		a.core.Ack(m.Attempt, m.NextSequence)
	case *wire.RequestCancel:
		if a.core.Cancel(a.sim.now, m.Attempt) {
			a.end(a.find(m.Attempt), outcome.Unknown, outcome.ReasonCanceled, 0)
		}
	}
}

// sendFrames sends the frames that the core holds for an attempt and that have not
// been sent yet.
func (a *agent) sendFrames(s *servedAttempt) {
	for s.conn != nil && s.nextSequence <= a.core.FrameCount(s.run.attempt) {
		m := a.core.MessageAt(s.run.attempt, s.nextSequence)
		if m == nil {
			return
		}
		s.conn.sendToEntry(m)
		s.nextSequence++
	}
}

// emit produces up to size bytes of the response, or its end if all bytes were
// emitted.
func (a *agent) emit(s *servedAttempt, size int) {
	remaining := s.run.response[s.run.emitted:]
	if len(remaining) == 0 {
		a.end(s, outcome.Completed, outcome.ReasonNone, 200)
		return
	}
	piece := remaining[:min(size, len(remaining))]
	if a.core.AppendFrame(a.sim.now, s.run.attempt, piece) {
		s.run.emitted += len(piece)
		a.sendFrames(s)
	}
}

func (a *agent) end(s *servedAttempt, o outcome.Outcome, reason outcome.Reason, status int) {
	if s.ended {
		return
	}
	s.ended = true
	a.core.End(a.sim.now, s.run.attempt, o, reason, status, "")
	a.sendFrames(s)
}

// crashEngine ends all runs; the agent process stays up.
func (a *agent) crashEngine() {
	for _, s := range a.attempts {
		a.end(s, outcome.Unknown, outcome.ReasonBackendCrashed, 0)
	}
	a.core.CrashReport(a.sim.now, 1)
}

// tick does what gate.Gate does once per second.
func (a *agent) tick() {
	for _, id := range a.core.Expire(a.sim.now) {
		a.end(a.find(id), outcome.Unknown, outcome.ReasonCanceled, 0)
	}
}

// connectionLost detaches the attempts of a lost connection.
func (a *agent) connectionLost(c *conn, now time.Time) {
	for _, s := range a.attempts {
		if s.conn == c {
			s.conn = nil
			a.core.Detach(now, s.run.attempt)
		}
	}
}

// switchWeights replaces the live weights if no request is running, as gate.Gate
// does.
func (a *agent) switchWeights(live model.Weights) {
	if a.core.Running() == 0 {
		a.live = live
		a.core.SetLive([]model.Weights{live, {}})
	}
}
