package dispatch

import (
	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// finish sends the final response to the caller.
func (r *run) finish(step attempt.Step) {
	result := caller.Result{
		Outcome:     step.Outcome,
		Reason:      step.Reason,
		Status:      step.Status,
		ContentType: step.ContentType,
		RetryAfter:  step.RetryAfter,
		Frames:      r.machine.NextSequence(),
	}
	if r.responseEnd != nil {
		result.Digest = r.responseEnd.Digest
	}
	r.outcomePending = step.OutcomePending
	if !step.OutcomePending {
		result.ClaimProof = r.recordClaim(step.Outcome, step.Reason, step.Status, step.ContentType)
	}
	r.logOutcome(result)
	r.responded = true
	r.dispatcher.endResponse(r.request, r.response, result)
}

func (r *run) logOutcome(result caller.Result) {
	event := eventlog.RequestNotRun
	switch result.Outcome {
	case outcome.NotRun:
	case outcome.Unknown:
		event = eventlog.RequestUnknown
	default:
		return
	}
	r.dispatcher.cfg.Log.Log(event, "request", r.request.ID, "service", r.request.Service.Name,
		"tenant", r.request.Tenant.Name, "reason", result.Reason)
}

// release frees the slot of the current attempt and reports the outcome to the
// fleet.
func (r *run) release() {
	if r.slot == nil {
		return
	}
	d := r.dispatcher
	if mean, ok := r.timing.betweenFrames(); ok && r.request.Service.Kind == config.KindModel {
		d.cfg.Fleet.ObserveBetweenTokens(r.slot, mean)
	}
	d.admission.correctCharge(r.request.Service.Pool, r.request.Tenant.Name, r.tokens, r.promptTokens+r.timing.frames)
	r.slot.Link.Finish(r.attempt)
	d.cfg.Fleet.Finish(r.slot, r.attemptOutcome, r.routeResult)
	r.slot, r.inbox = nil, nil
}
