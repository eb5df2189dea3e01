package config

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// resolveOutdated returns the result of a request whose expected revision is no
// longer the newest. The revision after the expected one shows whether this
// request was already accepted.
func (s *Store) resolveOutdated(ctx context.Context, req Request, current *storeState) (Result, error) {
	before, err := s.stateAtOrEmpty(ctx, req.Expected)
	if err != nil {
		return Result{}, err
	}
	next, err := s.stateAt(ctx, req.Expected+1)
	if err != nil {
		return Result{}, err
	}
	if next.change.Operation == req.Operation {
		want, err := req.Config.Digest()
		if err != nil {
			return Result{}, err
		}
		if next.stateDigest() != want {
			return Result{}, merry.Wrap(ErrOperationReused, merry.AppendMessage(req.Operation))
		}
		return Result{Head: next.head, Differences: Diff(before.config, next.config), Replayed: true}, nil
	}
	return Result{}, merry.Wrap(&RevisionConflictError{
		Expected:    req.Expected,
		Current:     current.head,
		Author:      current.change.Author,
		Operation:   current.change.Operation,
		Differences: Diff(before.config, current.config),
	})
}

// stateAtOrEmpty is like stateAt, but returns the empty configuration for number 0.
func (s *Store) stateAtOrEmpty(ctx context.Context, number uint64) (*storeState, error) {
	if number == 0 {
		return &storeState{config: &Config{}}, nil
	}
	return s.stateAt(ctx, number)
}

// rejectFuture rejects a request whose expected revision is higher than the newest
// one read. The read may be stale, so the operation ID is abandoned first, which
// ensures that the request was not and will not be accepted.
func (s *Store) rejectFuture(ctx context.Context, req Request, state *storeState) error {
	conflict := &RevisionConflictError{Expected: req.Expected, Current: state.head, Author: state.change.Author, Operation: state.change.Operation}
	if req.DryRun {
		return merry.Wrap(conflict)
	}
	op, err := s.abandon(ctx, req.Operation)
	if err != nil {
		return err
	}
	if op.State == OperationApplied {
		return merry.Wrap(errStaleRead)
	}
	return merry.Wrap(conflict)
}

// Operation returns the outcome of an operation ID. If settle is true, an ID that
// was not applied is abandoned. The result is then final, because a write in
// flight can no longer take effect. It returns ErrStoreUnavailable if the outcome
// cannot be read, and *InvalidError for an invalid ID.
func (s *Store) Operation(ctx context.Context, id string, settle bool) (Operation, error) {
	if err := validateOperation(id); err != nil {
		return Operation{}, err
	}
	if !settle {
		return s.readOperation(ctx, id)
	}
	var err error
	for retries := 0; ; retries++ {
		var op Operation
		op, err = s.abandon(ctx, id)
		if !isRetryable(err) {
			return op, err
		}
		if retries == s.cfg.MaxRetries || s.cfg.Sleep(ctx, s.cfg.RetryDelay<<retries) != nil {
			return Operation{}, storeUnavailable(err)
		}
	}
}

// readOperation returns the recorded outcome of an operation ID. The zero Operation
// means that none is recorded.
func (s *Store) readOperation(ctx context.Context, id string) (Operation, error) {
	row, err := s.table.Get(ctx, OperationTable, id)
	if errors.Is(err, backing.ErrNotFound) {
		return Operation{}, nil
	}
	if err != nil {
		return Operation{}, storeUnavailable(err)
	}
	return decodeOperation(row.Value)
}

// abandon records the operation ID as abandoned unless it is already recorded, and
// returns the recorded outcome.
func (s *Store) abandon(ctx context.Context, id string) (Operation, error) {
	now := s.cfg.Clock.Now()
	value, err := encode(operationRow{UnixMillis: now.UnixMilli(), Abandoned: true})
	if err != nil {
		return Operation{}, err
	}
	err = s.table.Commit(ctx, backing.Transaction{Writes: []backing.Write{
		{Table: OperationTable, Key: id, Condition: backing.IfAbsent, Value: value},
	}})
	if err == nil {
		return Operation{State: OperationAbandoned, Time: now}, nil
	}
	var conflict *backing.ConflictError
	if !errors.As(err, &conflict) {
		return Operation{}, merry.Wrap(err)
	}
	op, err := s.readOperation(ctx, id)
	if err == nil && op.State == OperationNotFound {
		return Operation{}, merry.Wrap(errStaleRead)
	}
	return op, err
}
