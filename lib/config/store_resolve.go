package config

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// resolvePassed answers a request whose expected revision is not the newest any
// more: the revision after it tells whether this request was the one accepted.
func (s *Store) resolvePassed(ctx context.Context, req Request, current *storeState) (Result, error) {
	before, err := s.atOrEmpty(ctx, req.Expected)
	if err != nil {
		return Result{}, err
	}
	next, err := s.at(ctx, req.Expected+1)
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

func (s *Store) atOrEmpty(ctx context.Context, number uint64) (*storeState, error) {
	if number == 0 {
		return &storeState{config: &Config{}}, nil
	}
	return s.at(ctx, number)
}

// refuseFuture answers a request from a revision that the store does not show.
// The read may be stale, so the operation id is abandoned first; only then is
// it certain that the request was not accepted.
func (s *Store) refuseFuture(ctx context.Context, req Request, state *storeState) error {
	conflict := &RevisionConflictError{Expected: req.Expected, Current: state.head, Author: state.change.Author, Operation: state.change.Operation}
	if req.DryRun {
		return merry.Wrap(conflict)
	}
	op, err := s.abandon(ctx, req.Operation)
	if err != nil {
		return err
	}
	if op.State == OperationApplied {
		return merry.Wrap(errStale)
	}
	return merry.Wrap(conflict)
}

// Operation returns what became of an operation id. With settle, an id that was
// not applied is abandoned, which makes the answer final: a write that is still
// on its way can no longer take effect. It returns ErrStoreUnavailable while
// the truth cannot be read.
func (s *Store) Operation(ctx context.Context, id string, settle bool) (Operation, error) {
	if err := validateOperation(id); err != nil {
		return Operation{}, err
	}
	if !settle {
		return s.readOperation(ctx, id)
	}
	var err error
	for try := 0; ; try++ {
		var op Operation
		op, err = s.abandon(ctx, id)
		if !isRetryable(err) {
			return op, err
		}
		if try == s.cfg.MaxRetries || s.cfg.Sleep(ctx, s.cfg.RetryDelay<<try) != nil {
			return Operation{}, unavailable(err)
		}
	}
}

func (s *Store) readOperation(ctx context.Context, id string) (Operation, error) {
	row, err := s.table.Get(ctx, OperationTable, id)
	if errors.Is(err, backing.ErrNotFound) {
		return Operation{}, nil
	}
	if err != nil {
		return Operation{}, unavailable(err)
	}
	return decodeOperation(row.Value)
}

// abandon inserts the operation id as abandoned unless it exists, and returns
// what the id stands for now.
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
		return Operation{}, merry.Wrap(errStale)
	}
	return op, err
}
