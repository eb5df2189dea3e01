package requestsim

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
	"github.com/auburnbend/auburnbend/lib/wire"
)

func newLedger(w *world) *claim.Ledger {
	return claim.New(claim.Config{MaxTries: 2, Backoff: func(context.Context) {}}, w.table, nil)
}

func (a *ask) claimKey() claim.Key {
	return claim.Key{Service: "orders", Tenant: "t", IdempotencyKey: a.key}
}

func (a *ask) fingerprint() model.Fingerprint {
	return model.FingerprintOf("t", model.Service(a.kind.name), []byte(a.body))
}

// settle updates the claim once the fate of the request is known, and confirms
// the answer to the agent.
func (e *entry) settle(l *live, s attempt.Step) {
	if l.agent != nil {
		e.w.connection(e, l.agent).sendToAgent(&wire.ResponseAck{Attempt: l.machine.Attempt(), NextSequence: l.machine.NextSequence() + 1})
	}
	if l.claimID == "" {
		return
	}
	switch s.Outcome {
	case outcome.Completed, outcome.Failed:
		_ = e.ledger.Complete(e.w.ctx, e.w.now, l.ask.claimKey(), l.claimID, claim.Result{Outcome: s.Outcome, Status: s.Status, Body: l.buffer})
	case outcome.NotRun:
		err := e.ledger.Release(e.w.ctx, e.w.now, l.ask.claimKey(), l.claimID)
		e.w.t.Logf("entry %d releases %s of %s: %v", e.id, l.ask.key, l.claimID, err)
		if err != nil {
			l.ask.next = append(l.ask.next, l.claimID)
		}
	}
}

func (e *entry) claim(l *live) {
	var status claim.Status
	id := e.w.newAttempt(l.ask)
	defer func() {
		e.w.t.Logf("entry %d claims %s as %s with proofs %v: %s", e.id, l.ask.key, id, l.ask.proofs, status)
	}()
	a := e.ledger.Claim(e.w.ctx, e.w.now, l.ask.claimKey(), claim.Intent{Attempt: id, Fingerprint: l.ask.fingerprint(), Proofs: l.ask.proofs})
	status = a.Status
	switch a.Status {
	case claim.StatusHeld:
		l.claimID, l.unused = id, id
	case claim.StatusEarlierResult:
		l.pending = nil
		l.buffer = a.Result.Body
		l.tell(e.w, a.Result.Outcome, a.Result.Reason)
	default:
		l.pending = nil
		l.ask.next = a.Proofs
		l.tell(e.w, a.Outcome, a.Reason)
	}
}
