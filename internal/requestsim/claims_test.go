package requestsim

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func newLedger(sim *simulation) *claim.Ledger {
	return claim.New(claim.Config{MaxTries: 2, Backoff: func(context.Context) {}}, sim.table, nil)
}

func (sub *submission) claimKey() claim.Key {
	return claim.Key{Service: "orders", Tenant: "t", IdempotencyKey: sub.key}
}

func (sub *submission) fingerprint() model.Fingerprint {
	return model.FingerprintOf("t", model.Service(sub.kind.name), []byte(sub.body))
}

// settleClaim acknowledges the whole response to the agent, and completes or
// releases the claim according to the outcome.
func (e *entry) settleClaim(r *activeRequest, s attempt.Step) {
	if r.agent != nil {
		e.sim.connection(e, r.agent).sendToAgent(&wire.ResponseAck{Attempt: r.machine.Attempt(), NextSequence: r.machine.NextSequence() + 1})
	}
	if r.claimID == "" {
		return
	}
	switch s.Outcome {
	case outcome.Completed, outcome.Failed:
		_ = e.ledger.Complete(e.sim.ctx, e.sim.now, r.submission.claimKey(), r.claimID, claim.Result{Outcome: s.Outcome, Status: s.Status, Body: r.buffer})
	case outcome.NotRun:
		err := e.ledger.Release(e.sim.ctx, e.sim.now, r.submission.claimKey(), r.claimID)
		e.sim.t.Logf("entry %d releases key %s claimed by %s: %v", e.id, r.submission.key, r.claimID, err)
		if err != nil {
			r.submission.nextProofs = append(r.submission.nextProofs, r.claimID)
		}
	}
}

func (e *entry) claim(r *activeRequest) {
	var status claim.Status
	id := e.sim.newAttempt(r.submission)
	defer func() {
		e.sim.t.Logf("entry %d claims key %s for %s with proofs %v: %s", e.id, r.submission.key, id, r.submission.proofs, status)
	}()
	decision := e.ledger.Claim(e.sim.ctx, e.sim.now, r.submission.claimKey(), claim.Intent{Attempt: id, Fingerprint: r.submission.fingerprint(), Proofs: r.submission.proofs})
	status = decision.Status
	switch decision.Status {
	case claim.StatusHeld:
		r.claimID, r.undispatched = id, id
	case claim.StatusEarlierResult:
		r.pending = nil
		r.buffer = decision.Result.Body
		r.respond(e.sim, decision.Result.Outcome, decision.Result.Reason)
	default:
		r.pending = nil
		r.submission.nextProofs = decision.Proofs
		r.respond(e.sim, decision.Outcome, decision.Reason)
	}
}
