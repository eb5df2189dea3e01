package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// maxProofs is the maximum number of proofs that a caller may present for one
// key.
const maxProofs = 24

// claimOperation is the state of one call of Ledger.Claim.
type claimOperation struct {
	ledger *Ledger
	now    time.Time
	key    Key
	intent Intent

	// version is the version of the row to overwrite; 0 inserts a new row.
	version uint64
	// mayBeWritten is set once a write of this attempt may have been applied or
	// may be applied later.
	mayBeWritten bool
	// heldByOther is set while the row is known to belong to another attempt.
	heldByOther bool
}

// try writes the claim once and reads it back if the reply does not tell the
// result. It returns false if another try may succeed.
func (o *claimOperation) try(ctx context.Context) (Decision, bool) {
	w, err := newWrite(o.key, record{
		Phase:       phaseClaimed,
		Attempt:     o.intent.Attempt,
		Fingerprint: o.intent.Fingerprint,
		ClaimedAt:   o.now.UnixMilli(),
	})
	if err != nil {
		return o.unresolved(), true
	}
	if o.version != 0 {
		w.Condition, w.Version = backing.IfVersion, o.version
	}
	err = o.ledger.writer.Write(ctx, w)
	switch {
	case err == nil:
		return o.acquired()
	case isConflict(err):
		o.heldByOther = !o.mayBeWritten
	case errors.Is(err, backing.ErrNotApplied):
		return Decision{}, false
	default:
		o.mayBeWritten = true
	}
	return o.readBack(ctx)
}

func (o *claimOperation) readBack(ctx context.Context) (Decision, bool) {
	row, err := o.ledger.table.Get(ctx, Table, o.key.rowKey())
	if errors.Is(err, backing.ErrNotFound) {
		// The write has not been applied yet. If it is applied later, it conflicts
		// with the row inserted by the next try.
		o.version, o.heldByOther = 0, false
		return Decision{}, false
	}
	if err != nil {
		return Decision{}, false
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		o.heldByOther = true
		return Decision{}, false
	}
	if r.Attempt == o.intent.Attempt && r.Phase == phaseClaimed {
		return o.acquired()
	}
	if o.mayReplace(r) {
		o.version, o.heldByOther = row.Version, false
		return Decision{}, false
	}
	o.queueRelease()
	switch {
	case r.Fingerprint != o.intent.Fingerprint:
		return o.ledger.decision(StatusKeyReused), true
	case r.Phase == phaseCompleted:
		return Decision{Status: StatusEarlierResult, Result: r.Result}, true
	default:
		return o.ledger.decision(StatusNoResult), true
	}
}

// mayReplace reports whether the row may be overwritten: it has expired, was
// released, or its attempt was never dispatched.
func (o *claimOperation) mayReplace(r record) bool {
	switch {
	case r.olderThan(o.now, o.ledger.currentRetention()), r.Phase == phaseReleased:
		return true
	case r.Phase == phaseClaimed:
		return slices.Contains(o.intent.Proofs, r.Attempt) || o.ledger.pending.hasRelease(o.key, r.Attempt)
	default:
		return false
	}
}

func (o *claimOperation) acquired() (Decision, bool) {
	return Decision{Status: StatusHeld}, true
}

// queueRelease queues the release of a write of this attempt that may still be
// in flight while the row belongs to another attempt. The write can be applied
// only if that row is removed; RetryPending prevents this for as long as the
// process lives.
func (o *claimOperation) queueRelease() {
	if o.mayBeWritten {
		_ = o.ledger.pending.add(pendingUpdate{key: o.key, attempt: o.intent.Attempt, now: o.now})
	}
}

// unresolved returns the decision after all tries have ended without a definite
// result. The attempt is never dispatched afterwards.
func (o *claimOperation) unresolved() Decision {
	switch {
	case o.mayBeWritten && o.heldByOther:
		o.queueRelease()
		return o.ledger.decision(StatusUnknown)
	case o.mayBeWritten:
		o.queueRelease()
		d := o.ledger.decision(StatusAbandoned)
		d.Proofs = append(slices.Clone(o.intent.Proofs), o.intent.Attempt)
		d.Proofs = d.Proofs[max(0, len(d.Proofs)-maxProofs):]
		return d
	case o.heldByOther:
		return o.ledger.decision(StatusUnknown)
	default:
		return o.ledger.decision(StatusNotRun)
	}
}
