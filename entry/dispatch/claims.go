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
	// resultWaitTimeout limits the wait for the result of another request with
	// the same key.
	resultWaitTimeout = 4 * time.Second
	// firstResultPoll is the time from the claim to the first lookup of that
	// result.
	firstResultPoll = 100 * time.Millisecond
	// retryPendingInterval is the time between two retries of unconfirmed claim
	// updates.
	retryPendingInterval = time.Second
	// pruneLimit is the number of rows that one prune scans.
	pruneLimit = 200
	// retryPendingLimit is the maximum number of claim updates retried at once.
	retryPendingLimit = 32
)

// claim acquires the key of a non-repeatable request. It returns false if the
// request already has its final response.
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
	decision := r.awaitResult(ctx, r.tryClaim(ctx))
	switch decision.Status {
	case claim.StatusHeld:
		r.claimed = true
		return true
	case claim.StatusEarlierResult:
		r.sendStoredResult(decision.Result)
		return false
	case claim.StatusNoResult:
		d.cfg.Log.Log(eventlog.ClaimWithoutResult, "service", r.key.Service, "tenant", r.key.Tenant)
	}
	d.endResponse(r.request, r.response, caller.Result{
		Outcome:    decision.Outcome,
		Reason:     decision.Reason,
		RetryAfter: decision.RetryAfter,
		ClaimProof: claim.FormatProofs(decision.Proofs),
	})
	return false
}

func (r *run) tryClaim(ctx context.Context) claim.Decision {
	d := r.dispatcher
	// The caller has no use for the claim after its deadline.
	ctx, cancel := context.WithTimeout(ctx, min(d.cfg.ClaimTimeout, r.request.Deadline.Sub(d.cfg.Clock.Now())))
	defer cancel()
	return d.cfg.Ledger.Claim(ctx, d.cfg.Clock.Now(), r.key, claim.Intent{
		Attempt:     r.claimID,
		Fingerprint: r.fingerprint,
		Proofs:      claim.ParseProofs(r.request.ClaimProof),
	})
}

// awaitResult waits for the result of another request with the same key that
// may be running, so that a caller that sends again after a lost connection
// gets the response of its first call. The intervals between lookups double, so
// that a claim without a result costs few reads of the store.
func (r *run) awaitResult(ctx context.Context, decision claim.Decision) claim.Decision {
	d := r.dispatcher
	ctx, cancel := context.WithTimeout(ctx, min(resultWaitTimeout, r.request.Deadline.Sub(d.cfg.Clock.Now())))
	defer cancel()
	for interval := firstResultPoll; decision.Status == claim.StatusNoResult; interval *= 2 {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return decision
		}
		switch latest := d.cfg.Ledger.Lookup(ctx, d.cfg.Clock.Now(), r.key); latest.Status {
		case claim.StatusEarlierResult:
			return latest
		case claim.StatusNotRun:
			// The other request was proved not run and released the key.
			decision = r.tryClaim(ctx)
		}
	}
	return decision
}

// sendStoredResult responds with the stored result of the earlier run with the
// same key.
func (r *run) sendStoredResult(stored *claim.Result) {
	result := caller.Result{
		Outcome:     stored.Outcome,
		Reason:      stored.Reason,
		Status:      stored.Status,
		ContentType: stored.ContentType,
	}
	if stored.BodyOmitted {
		result.Detail = "the request ran; its answer was too large to be stored"
	} else if r.response.Write(stored.Body) != nil {
		return
	}
	r.dispatcher.endResponse(r.request, r.response, result)
}

// recordClaim stores the result of a claimed request, or releases its key if it
// was not run. If the release is not confirmed, it returns a proof with which
// the caller can use the key again.
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

// maintainClaims retries unconfirmed claim updates and deletes claims older
// than the retention, until ctx ends.
func (d *Dispatcher) maintainClaims(ctx context.Context) {
	retry := time.NewTicker(retryPendingInterval)
	defer retry.Stop()
	prune := time.NewTicker(d.cfg.PruneInterval)
	defer prune.Stop()
	var from string
	for {
		select {
		case <-prune.C:
			// If a scan fails, the next one starts from the same row.
			if next, _, err := d.cfg.Ledger.Prune(ctx, d.cfg.Clock.Now(), from, pruneLimit); err == nil {
				from = next
			}
		case <-retry.C:
		case <-ctx.Done():
			return
		}
		if d.cfg.Ledger.Pending() > 0 {
			d.cfg.Ledger.RetryPending(ctx, retryPendingLimit)
		}
	}
}
