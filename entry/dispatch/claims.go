package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/lib/claim"
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

const (
	// resultPatience bounds the wait for the result of a request with the same
	// key, firstResultPause is the time to the first look.
	resultPatience   = 4 * time.Second
	firstResultPause = 100 * time.Millisecond
	sweepInterval    = time.Second
	// pruneLimit is the number of rows that are looked at in one prune.
	pruneLimit = 200
	// sweepLimit bounds the claim updates that are tried again at one time.
	sweepLimit = 32
)

// claim takes the key of a non-repeatable request. It returns false when the
// request has its final answer.
func (r *run) claim(ctx context.Context) bool {
	if r.request.Service.Repeatable || r.request.IdempotencyKey == "" {
		return true
	}
	d := r.dispatcher
	r.key = claim.Key{
		Service:        r.request.Service.Name,
		Tenant:         r.request.Tenant.Name,
		IdempotencyKey: r.request.IdempotencyKey,
	}
	answer := r.awaitResult(ctx, r.tryClaim(ctx))
	switch answer.Status {
	case claim.StatusHeld:
		r.claimed = true
		return true
	case claim.StatusEarlierResult:
		r.replay(answer.Result)
		return false
	case claim.StatusNoResult:
		d.cfg.Log.Log(eventlog.ClaimWithoutResult, "service", r.key.Service, "tenant", r.key.Tenant)
	}
	d.end(r.request, r.answer, caller.Result{
		Outcome:    answer.Outcome,
		Reason:     answer.Reason,
		RetryAfter: answer.RetryAfter,
		ClaimProof: claim.FormatProofs(answer.Proofs),
	})
	return false
}

func (r *run) tryClaim(ctx context.Context) claim.Decision {
	d := r.dispatcher
	// After its deadline the caller has no use for the claim.
	ctx, cancel := context.WithTimeout(ctx, min(d.cfg.ClaimTimeout, r.request.Deadline.Sub(d.cfg.Clock.Now())))
	defer cancel()
	return d.cfg.Ledger.Claim(ctx, d.cfg.Clock.Now(), r.key, claim.Intent{
		Attempt:     r.claimID,
		Fingerprint: r.finger,
		Proofs:      claim.ParseProofs(r.request.ClaimProof),
	})
}

// awaitResult waits a while for the result of another request with the same key
// that may be running: a caller that sends again after a lost connection gets
// the answer of its first call. The pauses double, so that a claim without a
// result costs few reads of the store.
func (r *run) awaitResult(ctx context.Context, answer claim.Decision) claim.Decision {
	d := r.dispatcher
	ctx, cancel := context.WithTimeout(ctx, min(resultPatience, r.request.Deadline.Sub(d.cfg.Clock.Now())))
	defer cancel()
	for pause := firstResultPause; answer.Status == claim.StatusNoResult; pause *= 2 {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return answer
		}
		switch found := d.cfg.Ledger.Lookup(ctx, d.cfg.Clock.Now(), r.key); found.Status {
		case claim.StatusEarlierResult:
			return found
		case claim.StatusNotRun:
			// The other request was proved not run and has released the key.
			answer = r.tryClaim(ctx)
		}
	}
	return answer
}

// replay gives the stored answer of the run under the same key.
func (r *run) replay(stored *claim.Result) {
	result := caller.Result{
		Outcome:     stored.Outcome,
		Reason:      stored.Reason,
		Status:      stored.Status,
		ContentType: stored.ContentType,
	}
	if stored.BodyOmitted {
		result.Detail = "the request ran; its answer was too large to be stored"
	} else if r.answer.Write(stored.Body) != nil {
		return
	}
	r.dispatcher.end(r.request, r.answer, result)
}

// recordClaim stores what became of a claimed request. It returns a proof for the
// caller when the request was not run and its key may still look taken.
func (r *run) recordClaim(o outcome.Outcome, reason outcome.Reason, status int, contentType string) (proof string) {
	if !r.claimed || o == outcome.Unknown {
		return ""
	}
	r.claimed = false
	d := r.dispatcher
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ClaimTimeout)
	defer cancel()
	var err error
	if o == outcome.NotRun {
		err = d.cfg.Ledger.Release(ctx, d.cfg.Clock.Now(), r.key, r.claimID)
		d.cfg.Log.Log(eventlog.ClaimReleased, "service", r.key.Service, "tenant", r.key.Tenant)
	} else {
		err = d.cfg.Ledger.Complete(ctx, d.cfg.Clock.Now(), r.key, r.claimID, claim.Result{
			Outcome: o, Reason: reason, Status: status, ContentType: contentType, Body: r.body,
		})
	}
	if errors.Is(err, claim.ErrPending) {
		d.cfg.Log.Log(eventlog.StoreReplyLost, "service", r.key.Service, "tenant", r.key.Tenant)
	}
	if err != nil && o == outcome.NotRun {
		return claim.FormatProofs([]model.AttemptID{r.claimID})
	}
	return ""
}

// sweepClaims tries unconfirmed claim updates again, and deletes claims that are
// older than the retention, until ctx ends.
func (d *Dispatcher) sweepClaims(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	prune := time.NewTicker(d.cfg.PruneInterval)
	defer prune.Stop()
	var page string
	for {
		select {
		case <-prune.C:
			// A page that fails is read again next time.
			if next, _, err := d.cfg.Ledger.Prune(ctx, d.cfg.Clock.Now(), page, pruneLimit); err == nil {
				page = next
			}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if d.cfg.Ledger.Pending() > 0 {
			d.cfg.Ledger.RetryPending(ctx, sweepLimit)
		}
	}
}
