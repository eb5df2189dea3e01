package claim

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Complete stores the result of the attempt that holds the key. It returns
// ErrFenced if this attempt no longer holds the key, ErrPending if the store
// did not confirm the write and RetryPending will retry it, and ErrBacklogFull
// if the update is lost.
func (l *Ledger) Complete(ctx context.Context, now time.Time, key Key, attempt model.AttemptID, result Result) error {
	if len(result.Body) > l.config.MaxResultBytes {
		result.Body, result.BodyOmitted = nil, true
	}
	return l.applyWithRetries(ctx, pendingUpdate{key: key, attempt: attempt, now: now, result: &result})
}

// Release frees the key of an attempt that was proved not run. It returns the
// same errors as Complete.
func (l *Ledger) Release(ctx context.Context, now time.Time, key Key, attempt model.AttemptID) error {
	return l.applyWithRetries(ctx, pendingUpdate{key: key, attempt: attempt, now: now})
}

// RetryPending retries up to limit unconfirmed updates and returns how many
// remain.
func (l *Ledger) RetryPending(ctx context.Context, limit int) int {
	for _, u := range l.pending.oldest(limit) {
		if ctx.Err() != nil {
			break
		}
		if done, _ := l.apply(ctx, u); done {
			l.pending.remove(u)
		}
	}
	return l.pending.len()
}

// Pending returns the number of unconfirmed updates.
func (l *Ledger) Pending() int { return l.pending.len() }

func (l *Ledger) applyWithRetries(ctx context.Context, u pendingUpdate) error {
	for try := range l.config.MaxTries {
		if try > 0 {
			l.config.Backoff(ctx)
		}
		if done, err := l.apply(ctx, u); done {
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if err := l.pending.add(u); err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(ErrPending)
}

// apply reads the row and writes the update conditional on the version read.
// done reports whether the update needs no further try. If a write was applied
// but its reply was lost, the next apply finds the row already updated.
func (l *Ledger) apply(ctx context.Context, u pendingUpdate) (done bool, err error) {
	row, err := l.table.Get(ctx, Table, u.key.rowKey())
	if errors.Is(err, backing.ErrNotFound) {
		if u.result != nil {
			// Only Prune removes a claimed row: the result comes too late to be
			// stored.
			return true, merry.Wrap(ErrFenced)
		}
		// The claim's own write may still be in flight; a released row makes it
		// fail.
		return l.write(ctx, u, record{}, backing.IfAbsent, 0)
	}
	if err != nil {
		return false, err
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		return true, merry.Wrap(ErrFenced, merry.WithCause(err))
	}
	switch {
	case r.Attempt != u.attempt:
		return true, merry.Wrap(ErrFenced)
	case r.Phase == u.phase():
		return true, nil
	case r.Phase != phaseClaimed:
		return true, merry.Wrap(ErrFenced)
	}
	return l.write(ctx, u, r, backing.IfVersion, row.Version)
}

func (l *Ledger) write(ctx context.Context, u pendingUpdate, r record, c backing.Condition, version uint64) (bool, error) {
	r.Phase, r.Attempt, r.Result = u.phase(), u.attempt, u.result
	if c == backing.IfAbsent {
		r.ClaimedAt = u.now.UnixMilli()
	}
	w, err := newWrite(u.key, r)
	if err != nil {
		return true, err
	}
	w.Condition, w.Version = c, version
	err = l.writer.Write(ctx, w)
	return err == nil, err
}

func (u pendingUpdate) phase() phase {
	if u.result != nil {
		return phaseCompleted
	}
	return phaseReleased
}
