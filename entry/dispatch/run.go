package dispatch

import (
	"context"
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
	// followTimeout limits the wait for the outcome of an attempt after the
	// caller got its final response.
	followTimeout = 10 * time.Minute
	// bytesPerToken is used to estimate the tokens of a prompt from its length.
	bytesPerToken = 4
	// defaultResponseTokens is the assumed length of a response.
	defaultResponseTokens = 64
)

// run holds the state of one request. It is used by one goroutine at a time.
type run struct {
	dispatcher  *Dispatcher
	request     *caller.Request
	response    caller.ResponseWriter
	machine     *attempt.Machine
	fingerprint model.Fingerprint
	claimID     model.AttemptID
	key         claim.Key
	claimed     bool
	// body collects the response of a claimed request, to be stored with the
	// claim.
	body []byte

	slot    *fleet.Slot
	inbox   *link.Inbox
	attempt model.AttemptID
	// routeResult and attemptOutcome describe the end of the current attempt.
	routeResult    route.Result
	attemptOutcome outcome.Outcome
	responseEnd    *wire.ResponseEnd

	// beginBy is the latest time at which the request is dispatched.
	beginBy time.Time

	timing        timing
	unackedFrames int
	unackedBytes  int
	// tokens estimates those of the request, promptTokens those of its prompt.
	tokens         int
	promptTokens   int
	responded      bool
	outcomePending bool
}

func newRun(d *Dispatcher, r *caller.Request, w caller.ResponseWriter) *run {
	promptTokens := len(r.Body) / bytesPerToken
	return &run{
		dispatcher:   d,
		request:      r,
		response:     w,
		fingerprint:  model.FingerprintOf(r.Tenant.Name, r.Service.Name, r.Body),
		claimID:      model.AttemptID(uuid.NewString()),
		tokens:       promptTokens + defaultResponseTokens,
		promptTokens: promptTokens,
		machine: attempt.New(d.cfg.Attempt, attempt.Request{
			ID:         r.ID,
			Tenant:     r.Tenant.Name,
			Deadline:   r.Deadline,
			Repeatable: r.Service.Repeatable,
			Buffered:   w.Buffered(),
		}, d.budget),
	}
}

func (r *run) now() time.Time { return r.dispatcher.cfg.Clock.Now() }

// serve runs the request until the caller has its final response. An attempt
// that may still be running is followed to its end in the background, because
// its outcome determines what becomes of the claim.
func (r *run) serve(ctx context.Context) {
	step := r.machine.Queued(r.now())
	for {
		step = r.execute(ctx, step)
		if r.responded {
			break
		}
	}
	// The server returns the room of the body, and an attempt that is followed needs none.
	r.request.Body = nil
	if r.outcomePending {
		r.dispatcher.outcomePending.Add(1)
		go func() {
			defer r.dispatcher.outcomePending.Add(-1)
			r.followAttempt()
		}()
		return
	}
	r.release()
}

// followAttempt follows an attempt after the final response.
func (r *run) followAttempt() {
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	step := attempt.Step{}
	for r.outcomePending && ctx.Err() == nil {
		step = r.execute(ctx, step)
	}
	r.release()
}

// execute carries out a step and returns the next one.
func (r *run) execute(ctx context.Context, step attempt.Step) attempt.Step {
	if step.Discard {
		r.response.Reset()
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
		r.outcomePending = false
		r.recordClaim(step.Outcome, step.Reason, step.Status, step.ContentType)
		return attempt.Step{}
	default:
		return r.awaitEvent(ctx)
	}
}

// dispatch waits for an instance and sends the request to its agent.
func (r *run) dispatch(ctx context.Context, step attempt.Step) attempt.Step {
	r.release()
	d := r.dispatcher
	requirements := fleet.Requirements{
		Pool:        r.request.Service.Pool,
		Weights:     servingWeights(d.cfg.Current(), r.request.Service),
		Fingerprint: r.fingerprint,
		Avoid:       r.machine.TriedInstances(),
	}
	if step.Pinned {
		requirements.Weights = []model.Weights{step.Weights}
	}
	if r.request.Service.Kind == config.KindModel {
		requirements.Prefix = engine.HashPrefix(r.request.Body)
	}
	queued := r.now()
	// Request IDs are chosen by callers and may repeat; the queue needs unique
	// ones.
	offer := r.admitRequest(model.RequestID(uuid.NewString()), step.Pinned)
	res := d.admission.wait(ctx, &waiter{id: offer.ID, pool: requirements.Pool, requirements: requirements, deadline: r.request.Deadline}, offer)
	d.cfg.Metrics.ObserveQueueTime(r.request.Tenant.Name, r.request.Class.Name, r.now().Sub(queued))
	if res.slot == nil {
		return r.notAdmitted(ctx, res)
	}
	r.slot = res.slot
	return r.send()
}

func (r *run) notAdmitted(ctx context.Context, res admissionResult) attempt.Step {
	switch {
	case res.reason == outcome.ReasonOverloaded && r.now().After(r.beginBy):
		return r.machine.NotAdmitted(r.now(), outcome.ReasonDeadline, 0)
	case res.reason != outcome.ReasonCanceled:
		return r.machine.NotAdmitted(r.now(), res.reason, res.retryAfter)
	default:
		return r.interrupted(ctx)
	}
}

// admitRequest returns the request to be queued. begun is set if the caller has received a part
// of the response.
func (r *run) admitRequest(id model.RequestID, begun bool) admit.Request {
	d := r.dispatcher
	r.beginBy = d.admission.beginBy(r.request.Service.Pool, r.request.Received, r.request.Deadline)
	if begun {
		// The response has begun. A retry goes on with it, even if it is late.
		r.beginBy = r.request.Deadline
	}
	by := r.beginBy
	if r.request.Service.Kind == config.KindModel {
		by = d.admission.startBy(r.request.Service.Pool, r.request.Received, firstTokenTarget(r.request.Class), by)
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

// send sends the request to the agent of the reserved slot.
func (r *run) send() attempt.Step {
	r.attempt = r.claimID
	if len(r.machine.TriedInstances()) > 0 || r.machine.Attempt() != "" {
		r.attempt = model.AttemptID(uuid.NewString())
	}
	now := r.now()
	r.timing.start(now)
	r.routeResult, r.attemptOutcome, r.responseEnd = route.ResultNeutral, outcome.Unknown, nil
	r.unackedFrames, r.unackedBytes = 0, 0
	if now.After(r.beginBy) {
		// It could begin after its caller has been told that it failed.
		r.attemptOutcome = outcome.NotRun
		return r.machine.NotAdmitted(now, outcome.ReasonDeadline, 0)
	}
	hop := r.machine.Hop()
	step := r.machine.Dispatched(now, attempt.Dispatch{
		Attempt:  r.attempt,
		Instance: r.slot.Key.Instance,
		Weights:  r.slot.Weights,
	})
	if step.Action == attempt.ActionFinish {
		r.attemptOutcome = outcome.NotRun
		return step
	}
	inbox, err := r.slot.Link.StartHeld(&wire.RequestStart{
		Request:         r.request.ID,
		Attempt:         r.attempt,
		Tenant:          r.request.Tenant.Name,
		Class:           r.request.Class.Name,
		Service:         r.request.Service.Name,
		Weights:         r.slot.Weights,
		Fingerprint:     r.fingerprint,
		Suspect:         r.slot.Suspect,
		RemainingMillis: r.machine.Remaining(now).Milliseconds(),
		Hop:             hop,
		Priority:        r.request.Class.Priority,
		Repeatable:      r.request.Service.Repeatable,
		ContentType:     r.request.ContentType,
		IdempotencyKey:  r.request.IdempotencyKey,
		Body:            r.request.Body,
	}, r.request.Room.Hold().Release)
	if err != nil {
		// Start returns an error only if nothing was sent.
		r.attemptOutcome = outcome.NotRun
		return r.machine.Refused(now, r.attempt, outcome.ReasonNoBackendServer, 0)
	}
	r.inbox = inbox
	return step
}
