package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// ackEvery is the number of frames after which the agent may free its replay
	// buffer; ackBytes is the same in bytes.
	ackEvery = 16
	ackBytes = 32 << 10
)

// await takes the next event of the current attempt.
func (r *run) await(ctx context.Context) attempt.Step {
	e, err := r.inbox.Next(ctx)
	if err != nil {
		return r.interrupted(ctx)
	}
	switch e.Kind {
	case link.ConnectionLost:
		return r.machine.ConnectionLost(r.now(), r.attempt)
	case link.AgentReplaced:
		return r.crashed()
	case link.Reconnected:
		// The caller went away while the connection was down.
		if r.slot.Link.Send(&wire.Reattach{Attempt: r.attempt, Next: r.machine.NextSequence()}) != nil {
			return attempt.Step{}
		}
		return r.machine.Reattached(r.now(), r.attempt)
	case link.MessageReceived:
		return r.receive(e.Message)
	default:
		return attempt.Step{}
	}
}

func (r *run) crashed() attempt.Step {
	r.result, r.fate = route.ResultNeutral, outcome.Unknown
	return r.machine.ServerCrashed(r.now(), r.attempt)
}

func (r *run) interrupted(ctx context.Context) attempt.Step {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return r.machine.DeadlinePassed(r.now())
	}
	return r.machine.Canceled(r.now())
}

func (r *run) receive(m wire.Message) attempt.Step {
	switch m := m.(type) {
	case *wire.RequestRefused:
		r.fate = outcome.NotRun
		if m.Reason == outcome.ReasonOverloaded {
			r.dispatcher.cfg.Fleet.ObserveRefusal(r.slot)
		}
		return r.machine.Refused(r.now(), r.attempt, m.Reason, time.Duration(m.RetryAfterMillis)*time.Millisecond)
	case *wire.ResponseFrame:
		return r.frame(m)
	case *wire.ResponseEnd:
		r.end = m
		r.judge(m)
		step := r.machine.End(r.now(), m)
		if step.Action == attempt.ActionFinish || step.Action == attempt.ActionRecord {
			_ = r.slot.Link.Send(&wire.ResponseAck{Attempt: r.attempt, Next: m.Frames + 1})
		}
		return step
	default:
		return attempt.Step{}
	}
}

// judge notes what an end says about the backend server.
func (r *run) judge(m *wire.ResponseEnd) {
	r.fate = m.Outcome
	switch {
	case m.Outcome == outcome.Completed:
		r.result = route.ResultOK
	case m.Reason == outcome.ReasonBackendCrashed || m.Status >= http.StatusInternalServerError:
		r.result = route.ResultError
	}
}

// frame passes a piece of the answer on.
func (r *run) frame(m *wire.ResponseFrame) attempt.Step {
	step := r.machine.Frame(r.now(), m.Attempt, m.Sequence, m.Data)
	if !step.Forward {
		return step
	}
	r.measureFrame()
	r.acknowledge(len(m.Data))
	piece := m.Data[step.SkipBytes:]
	if r.claimed {
		r.body = append(r.body, piece...)
	}
	if !r.answered && r.answer.Write(piece) != nil {
		return r.machine.Canceled(r.now())
	}
	return step
}

func (r *run) acknowledge(size int) {
	r.unacked++
	r.unackedB += size
	if r.unacked >= ackEvery || r.unackedB >= ackBytes {
		_ = r.slot.Link.Send(&wire.ResponseAck{Attempt: r.attempt, Next: r.machine.NextSequence()})
		r.unacked, r.unackedB = 0, 0
	}
}

func (r *run) measureFrame() {
	d := r.dispatcher
	tenant, class := r.request.Tenant.Name, r.request.Class.Name
	gap, first := r.timing.frame(r.now())
	if !first {
		d.cfg.Metrics.ObserveBetweenTokens(tenant, class, gap)
		return
	}
	d.cfg.Metrics.ObserveFirstToken(tenant, class, r.now().Sub(r.request.Received))
	if r.request.Service.Kind == config.KindModel {
		d.cfg.Fleet.ObserveFirstToken(r.slot, gap)
		d.admission.observeStart(r.request.Service.Pool, gap)
	}
}

// reattach waits for a new connection to the same agent and asks for the rest
// of the answer.
func (r *run) reattach(ctx context.Context, step attempt.Step) attempt.Step {
	wait := ctx
	if !r.settling {
		// With its final answer the caller waits for nothing, and a later result
		// is as good for the claim.
		var cancel context.CancelFunc
		wait, cancel = context.WithTimeout(ctx, r.dispatcher.cfg.ReattachTimeout)
		defer cancel()
	}
	for {
		e, err := r.inbox.Next(wait)
		switch {
		case ctx.Err() != nil:
			return r.interrupted(ctx)
		case err != nil:
			return r.machine.ReattachFailed(r.now(), step.Attempt)
		case e.Kind == link.AgentReplaced:
			return r.crashed()
		case e.Kind == link.Reconnected:
			if r.slot.Link.Send(&wire.Reattach{Attempt: step.Attempt, Next: step.NextSequence}) != nil {
				continue
			}
			return r.machine.Reattached(r.now(), step.Attempt)
		}
	}
}
