package claim

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// maxProofs bounds the proofs that a caller carries for one key.
const maxProofs = 24

// claiming is one Claim in progress.
type claiming struct {
	ledger *Ledger
	now    time.Time
	key    Key
	in     Intent

	// version is the version of the row to write over; zero inserts.
	version uint64
	// uncertain is set once a write may have taken effect, now or later.
	uncertain bool
	// foreign is set once a row of another attempt is known to exist.
	foreign bool
}

// try writes the claim once and reads back where the reply does not say what
// happened. It returns false when another try may help.
func (t *claiming) try(ctx context.Context) (Decision, bool) {
	w, err := writeOf(t.key, record{
		Phase:       phaseClaimed,
		Attempt:     t.in.Attempt,
		Fingerprint: t.in.Fingerprint,
		ClaimedAt:   t.now.UnixMilli(),
	})
	if err != nil {
		return t.giveUp(), true
	}
	if t.version != 0 {
		w.Condition, w.Version = backing.IfVersion, t.version
	}
	err = t.ledger.writer.Write(ctx, w)
	switch {
	case err == nil:
		return t.held()
	case isConflict(err):
		t.foreign = !t.uncertain
	case errors.Is(err, backing.ErrNotApplied):
		return Decision{}, false
	default:
		t.uncertain = true
	}
	return t.readBack(ctx)
}

func (t *claiming) readBack(ctx context.Context) (Decision, bool) {
	row, err := t.ledger.table.Get(ctx, Table, t.key.row())
	if errors.Is(err, backing.ErrNotFound) {
		// The write did not land yet. It may land later, and then finds the row
		// that the next try inserts.
		t.version, t.foreign = 0, false
		return Decision{}, false
	}
	if err != nil {
		return Decision{}, false
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		t.foreign = true
		return Decision{}, false
	}
	if r.Attempt == t.in.Attempt && r.Phase == phaseClaimed {
		return t.held()
	}
	if t.mayReplace(r) {
		t.version, t.foreign = row.Version, false
		return Decision{}, false
	}
	t.dropUncertain()
	switch {
	case r.Fingerprint != t.in.Fingerprint:
		return t.ledger.answer(StatusKeyReused), true
	case r.Phase == phaseCompleted:
		return Decision{Status: StatusEarlierResult, Result: r.Result}, true
	default:
		return t.ledger.answer(StatusNoResult), true
	}
}

// mayReplace reports whether the row stands for no run of this key that still
// counts: it has expired, was released, or its attempt was never dispatched.
func (t *claiming) mayReplace(r record) bool {
	switch {
	case r.olderThan(t.now, t.ledger.retained()), r.Phase == phaseReleased:
		return true
	case r.Phase == phaseClaimed:
		return slices.Contains(t.in.Proofs, r.Attempt) || t.ledger.pending.releases(t.key, r.Attempt)
	default:
		return false
	}
}

func (t *claiming) held() (Decision, bool) {
	return Decision{Status: StatusHeld}, true
}

// dropUncertain handles a write of this attempt that is still under way while
// the row belongs to another attempt. It can land only if that row goes away,
// which a sweep prevents for as long as the process lives.
func (t *claiming) dropUncertain() {
	if t.uncertain {
		_ = t.ledger.pending.add(update{key: t.key, attempt: t.in.Attempt, now: t.now})
	}
}

// giveUp answers when the store did not settle the claim. The attempt is never
// dispatched afterwards.
func (t *claiming) giveUp() Decision {
	switch {
	case t.uncertain && t.foreign:
		t.dropUncertain()
		return t.ledger.answer(StatusUnknown)
	case t.uncertain:
		t.dropUncertain()
		a := t.ledger.answer(StatusAbandoned)
		a.Proofs = append(slices.Clone(t.in.Proofs), t.in.Attempt)
		a.Proofs = a.Proofs[max(0, len(a.Proofs)-maxProofs):]
		return a
	case t.foreign:
		return t.ledger.answer(StatusUnknown)
	default:
		return t.ledger.answer(StatusNotRun)
	}
}
