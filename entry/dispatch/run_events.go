package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/memory"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// ackFrames and ackBytes are the number of frames and of bytes after which a
	// ResponseAck lets the agent free its replay buffer.
	ackFrames = 16
	ackBytes  = 32 << 10
)

// awaitEvent waits for the next event of the current attempt.
func (r *run) awaitEvent(ctx context.Context) attempt.Step {
	e, err := r.inbox.Next(ctx)
	if err != nil {
		return r.interrupted(ctx)
	}
	switch e.Kind {
	case link.ConnectionLost:
		return r.machine.ConnectionLost(r.now(), r.attempt)
	case link.AgentReplaced:
		return r.serverCrashed()
	case link.Reconnected:
		// Happens if the caller disconnected during a reattach.
		if r.slot.Link.Send(&wire.Reattach{Attempt: r.attempt, NextSequence: r.machine.NextSequence()}) != nil {
			return attempt.Step{}
		}
		return r.machine.Reattached(r.now(), r.attempt)
	case link.MessageReceived:
		return r.receive(ctx, e.Message)
	default:
		return attempt.Step{}
	}
}

func (r *run) serverCrashed() attempt.Step {
	r.routeResult, r.attemptOutcome = route.ResultNeutral, outcome.Unknown
	return r.machine.ServerCrashed(r.now(), r.attempt)
}

// interrupted ends the request because its context has ended.
func (r *run) interrupted(ctx context.Context) attempt.Step {
	switch {
	case errors.Is(context.Cause(ctx), caller.ErrDrainEnded):
		return r.machine.EntryStopping(r.now())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return r.machine.DeadlinePassed(r.now())
	default:
		return r.machine.Canceled(r.now())
	}
}

func (r *run) receive(ctx context.Context, m wire.Message) attempt.Step {
	switch m := m.(type) {
	case *wire.RequestRefused:
		r.attemptOutcome = outcome.NotRun
		if m.Reason == outcome.ReasonOverloaded {
			r.dispatcher.cfg.Fleet.ObserveRefusal(r.slot)
		}
		return r.machine.Refused(r.now(), r.attempt, m.Reason, time.Duration(m.RetryAfterMillis)*time.Millisecond)
	case *wire.ResponseFrame:
		return r.forwardFrame(ctx, m)
	case *wire.ResponseEnd:
		r.responseEnd = m
		r.recordServerResult(m)
		step := r.machine.End(r.now(), m)
		if step.Action == attempt.ActionFinish || step.Action == attempt.ActionRecord {
			_ = r.slot.Link.Send(&wire.ResponseAck{Attempt: r.attempt, NextSequence: m.Frames + 1})
		}
		return step
	default:
		return attempt.Step{}
	}
}

// recordServerResult records what the end of an attempt tells about the backend
// server.
func (r *run) recordServerResult(m *wire.ResponseEnd) {
	r.attemptOutcome = m.Outcome
	switch {
	case m.Outcome == outcome.Completed:
		r.routeResult = route.ResultOK
	case m.Reason == outcome.ReasonBackendCrashed || m.Status >= http.StatusInternalServerError:
		r.routeResult = route.ResultError
	}
}

// forwardFrame passes a frame of the response on to the caller.
func (r *run) forwardFrame(ctx context.Context, m *wire.ResponseFrame) attempt.Step {
	step := r.machine.Frame(r.now(), m.Attempt, m.Sequence, m.Data)
	if !step.Forward {
		return step
	}
	r.observeFrame()
	r.acknowledge(len(m.Data))
	data := m.Data[step.SkipBytes:]
	if r.claimed && len(r.body) <= r.dispatcher.cfg.Ledger.MaxResultBytes() {
		// A body that is longer than this is not stored.
		r.body = append(r.body, data...)
	}
	if r.responded {
		return step
	}
	switch err := r.response.Write(data); {
	case errors.Is(err, memory.ErrExhausted):
		r.dispatcher.cfg.Log.Log(eventlog.ResponseBeyondMemory, "request", r.request.ID, "service", r.request.Service.Name, "tenant", r.request.Tenant.Name)
		if ctx.Err() == nil {
			return r.machine.DeadlinePassed(r.now())
		}
		return r.interrupted(ctx)
	case err != nil:
		return r.machine.Canceled(r.now())
	}
	return step
}

func (r *run) acknowledge(size int) {
	r.unackedFrames++
	r.unackedBytes += size
	if r.unackedFrames >= ackFrames || r.unackedBytes >= ackBytes {
		_ = r.slot.Link.Send(&wire.ResponseAck{Attempt: r.attempt, NextSequence: r.machine.NextSequence()})
		r.unackedFrames, r.unackedBytes = 0, 0
	}
}

func (r *run) observeFrame() {
	d := r.dispatcher
	tenant, class := r.request.Tenant.Name, r.request.Class.Name
	elapsed, first := r.timing.frame(r.now())
	if !first {
		d.cfg.Metrics.ObserveBetweenTokens(tenant, class, elapsed)
		return
	}
	d.cfg.Metrics.ObserveFirstToken(tenant, class, r.now().Sub(r.request.Received))
	d.admission.observeFirstFrame(r.request.Service.Pool, elapsed)
	d.cfg.Fleet.ObserveFirstFrame(r.slot)
	if r.request.Service.Kind == config.KindModel {
		d.cfg.Fleet.ObserveFirstToken(r.slot, elapsed)
	}
}

// reattach waits for a new connection to the same agent and requests the rest
// of the response.
func (r *run) reattach(ctx context.Context, step attempt.Step) attempt.Step {
	waitCtx := ctx
	if !r.outcomePending {
		// No timeout once the caller has its final response: a late result is just as
		// useful for the claim.
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithTimeout(ctx, r.dispatcher.cfg.ReattachTimeout)
		defer cancel()
	}
	for {
		e, err := r.inbox.Next(waitCtx)
		switch {
		case ctx.Err() != nil:
			return r.interrupted(ctx)
		case err != nil:
			return r.machine.ReattachFailed(r.now(), step.Attempt)
		case e.Kind == link.AgentReplaced:
			return r.serverCrashed()
		case e.Kind == link.Reconnected:
			if r.slot.Link.Send(&wire.Reattach{Attempt: step.Attempt, NextSequence: step.NextSequence}) != nil {
				continue
			}
			return r.machine.Reattached(r.now(), step.Attempt)
		}
	}
}
