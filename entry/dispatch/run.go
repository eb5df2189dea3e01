package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/entry/link"
	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/route"
	"github.com/auburnbend/auburnbend/lib/wire"
)

const (
	// settleTimeout bounds the wait for the fate of an attempt whose caller has
	// its final answer.
	settleTimeout = 10 * time.Minute
	// bytesPerToken estimates the tokens of a prompt from its length.
	bytesPerToken = 4
	// defaultAnswerTokens is the assumed length of an answer.
	defaultAnswerTokens = 64
)

// run is the life of one request. It belongs to one goroutine at a time.
type run struct {
	dispatcher *Dispatcher
	request    *caller.Request
	answer     caller.ResponseWriter
	machine    *attempt.Machine
	finger     model.Fingerprint
	claimID    model.AttemptID
	key        claim.Key
	claimed    bool
	// body collects the answer of a claimed request for callers that ask again.
	body []byte

	slot    *fleet.Slot
	inbox   *link.Inbox
	attempt model.AttemptID
	// result and fate say how the current attempt ended.
	result route.Result
	fate   outcome.Outcome
	end    *wire.ResponseEnd

	timing   timing
	unacked  int
	unackedB int
	tokens   int
	answered bool
	settling bool
}

func newRun(d *Dispatcher, r *caller.Request, a caller.ResponseWriter) *run {
	return &run{
		dispatcher: d,
		request:    r,
		answer:     a,
		finger:     model.FingerprintOf(r.Tenant.Name, r.Service.Name, r.Body),
		claimID:    model.AttemptID(uuid.NewString()),
		tokens:     len(r.Body)/bytesPerToken + defaultAnswerTokens,
		machine: attempt.New(d.cfg.Attempt, attempt.Request{
			ID:         r.ID,
			Tenant:     r.Tenant.Name,
			Deadline:   r.Deadline,
			Repeatable: r.Service.Repeatable,
			Buffered:   a.Buffered(),
		}, d.budget),
	}
}

func (r *run) now() time.Time { return r.dispatcher.cfg.Clock.Now() }

// serve runs the request until the caller has its final answer. An attempt that
// may still be running is followed to its end in the background, because its
// fate decides what a claim says.
func (r *run) serve(ctx context.Context) {
	step := r.machine.Queued(r.now())
	for {
		step = r.act(ctx, step)
		if r.answered {
			break
		}
	}
	if r.settling {
		r.dispatcher.settling.Add(1)
		go func() {
			defer r.dispatcher.settling.Add(-1)
			r.settle()
		}()
		return
	}
	r.release()
}

// settle follows an attempt after the final answer.
func (r *run) settle() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	step := attempt.Step{}
	for r.settling && ctx.Err() == nil {
		step = r.act(ctx, step)
	}
	r.release()
}

// act carries out one step and returns the next one.
func (r *run) act(ctx context.Context, step attempt.Step) attempt.Step {
	if step.Discard {
		r.answer.Reset()
		r.body = nil
	}
	if step.Cancel != "" && r.slot != nil {
		_ = r.slot.Link.Send(&wire.RequestCancel{Attempt: step.Cancel})
	}
	switch step.Action {
	case attempt.ActionDispatch:
		return r.dispatch(ctx, step)
	case attempt.ActionReattach:
		return r.reattach(ctx, step)
	case attempt.ActionFinish:
		r.finish(step)
		return attempt.Step{}
	case attempt.ActionRecord:
		r.settling = false
		r.recordClaim(step.Outcome, step.Reason, step.Status, step.ContentType)
		return attempt.Step{}
	default:
		return r.await(ctx)
	}
}

// dispatch waits for an instance and sends the request to its agent.
func (r *run) dispatch(ctx context.Context, step attempt.Step) attempt.Step {
	r.release()
	d := r.dispatcher
	requirements := fleet.Requirements{
		Pool:        r.request.Service.Pool,
		Weights:     routesOf(d.cfg.Current(), r.request.Service),
		Fingerprint: r.finger,
		Avoid:       r.machine.TriedInstances(),
	}
	if step.Pinned {
		requirements.Weights = []model.Weights{step.Weights}
	}
	if r.request.Service.Kind == config.KindModel {
		requirements.Prefix = engine.PrefixOf(r.request.Body)
	}
	queued := r.now()
	// Callers choose request ids, so the queue needs one of its own.
	offer := r.admitRequest(model.RequestID(uuid.NewString()))
	g := d.admission.wait(ctx, &waiter{id: offer.ID, pool: requirements.Pool, requirements: requirements}, offer)
	d.cfg.Metrics.ObserveQueueTime(r.request.Tenant.Name, r.request.Class.Name, r.now().Sub(queued))
	if g.slot == nil {
		return r.refused(ctx, g)
	}
	r.slot = g.slot
	return r.send()
}

func (r *run) refused(ctx context.Context, g grant) attempt.Step {
	switch {
	case g.reason != outcome.ReasonCanceled:
		return r.machine.NotAdmitted(r.now(), g.reason, g.retryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return r.machine.DeadlinePassed(r.now())
	default:
		return r.machine.Canceled(r.now())
	}
}

func (r *run) admitRequest(id model.RequestID) admit.Request {
	d := r.dispatcher
	by := r.request.Deadline
	if r.request.Service.Kind == config.KindModel {
		by = d.admission.startBy(r.request.Service.Pool, r.request.Received, firstTokenTarget(r.request.Class), r.request.Deadline)
	}
	return admit.Request{
		ID:       id,
		Tenant:   r.request.Tenant.Name,
		Class:    r.request.Class.Name,
		Priority: r.request.Class.Priority,
		Tokens:   r.tokens,
		StartBy:  by,
	}
}

// send hands the request to the agent of the reserved place.
func (r *run) send() attempt.Step {
	r.attempt = r.claimID
	if len(r.machine.TriedInstances()) > 0 || r.machine.Attempt() != "" {
		r.attempt = model.AttemptID(uuid.NewString())
	}
	now := r.now()
	r.timing.start(now)
	r.result, r.fate, r.end = route.ResultNeutral, outcome.Unknown, nil
	r.unacked, r.unackedB = 0, 0
	hop := r.machine.Hop()
	step := r.machine.Dispatched(now, attempt.Dispatch{
		Attempt:  r.attempt,
		Instance: r.slot.Key.Instance,
		Weights:  r.slot.Weights,
	})
	if step.Action == attempt.ActionFinish {
		r.fate = outcome.NotRun
		return step
	}
	inbox, err := r.slot.Link.Start(&wire.RequestStart{
		Request:        r.request.ID,
		Attempt:        r.attempt,
		Tenant:         r.request.Tenant.Name,
		Class:          r.request.Class.Name,
		Service:        r.request.Service.Name,
		Weights:        r.slot.Weights,
		Finger:         r.finger,
		Suspect:        r.slot.Suspect,
		Remaining:      r.machine.Remaining(now).Milliseconds(),
		Hop:            hop,
		Priority:       r.request.Class.Priority,
		Repeatable:     r.request.Service.Repeatable,
		ContentType:    r.request.ContentType,
		IdempotencyKey: r.request.IdempotencyKey,
		Body:           r.request.Body,
	})
	if err != nil {
		// The link proves that nothing was sent.
		r.fate = outcome.NotRun
		return r.machine.Refused(now, r.attempt, outcome.ReasonNoBackendServer, 0)
	}
	r.inbox = inbox
	return step
}
