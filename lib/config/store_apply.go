package config

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// operationWrite is the position of the operation id in the transaction.
const operationWrite = 2

// Apply validates a request and makes it the next revision. It returns
// *InvalidError, *RevisionConflictError or ErrOperationReused when the request
// was certainly not accepted, and *UnknownOutcomeError with the operation id
// when the store did not tell. A dry run returns ErrStoreUnavailable instead.
// Repeating a request with the same id is safe at any time: it can only become
// the revision after Expected.
func (s *Store) Apply(ctx context.Context, req Request) (Result, error) {
	if err := validateRequest(req); err != nil {
		return Result{}, err
	}
	var err error
	for try := 0; ; try++ {
		var result Result
		result, err = s.try(ctx, req)
		if !isRetryable(err) {
			return result, err
		}
		if try == s.cfg.MaxRetries || s.cfg.Sleep(ctx, s.cfg.RetryDelay<<try) != nil {
			break
		}
	}
	if req.DryRun {
		return Result{}, err
	}
	return Result{}, merry.Wrap(&UnknownOutcomeError{Operation: req.Operation, Cause: err})
}

// errStale means that a read showed an older state than is known to exist.
var errStale = merry.New("store showed an older state")

func isRetryable(err error) bool {
	if err == nil {
		return false
	}
	for _, retryable := range []error{errStale, ErrStoreUnavailable, ErrRevisionNotFound, backing.ErrUnknown, backing.ErrNotApplied} {
		if errors.Is(err, retryable) {
			return true
		}
	}
	return false
}

// try makes one attempt. It is safe after an attempt of unknown outcome: that
// one can only have become revision Expected+1, which this one finds, or will
// lose against whatever this one commits.
func (s *Store) try(ctx context.Context, req Request) (Result, error) {
	state, err := s.latest(ctx)
	if err != nil {
		return Result{}, err
	}
	switch {
	case state.head.Number < req.Expected:
		return Result{}, s.refuseFuture(ctx, req, state)
	case state.head.Number > req.Expected:
		return s.resolvePassed(ctx, req, state)
	}
	delta, err := NewDelta(state.config, req.Config.Canonical())
	if err != nil {
		return Result{}, err
	}
	result := Result{Head: state.head, Differences: Diff(state.config, req.Config)}
	if delta.Empty() {
		result.Unchanged = true
		return result, nil
	}
	if req.DryRun {
		return result, nil
	}
	return s.commit(ctx, req, state, delta, result)
}

func (s *Store) commit(ctx context.Context, req Request, state *storeState, delta Delta, result Result) (Result, error) {
	now := s.cfg.Clock.Now()
	change := Change{Author: req.Author, Operation: req.Operation, UnixMillis: now.UnixMilli(), Delta: delta}
	revision, err := NewRevision(state.head, change)
	if err != nil {
		return Result{}, err
	}
	tx, encoded, err := s.transaction(req, state, revision)
	if err != nil {
		return Result{}, err
	}
	err = s.table.Commit(ctx, tx)
	var conflict *backing.ConflictError
	if errors.As(err, &conflict) {
		return Result{}, s.afterConflict(ctx, req, conflict.Index)
	}
	if err != nil {
		return Result{}, merry.Wrap(err)
	}
	result.Head, result.EncodedRevision = revision.Head(), encoded
	return result, nil
}

// transaction inserts the revision, moves the head and inserts the operation
// id, all or none, and adds a snapshot from time to time.
func (s *Store) transaction(req Request, state *storeState, revision Revision) (backing.Transaction, []byte, error) {
	encoded, err := revision.Encode()
	if err != nil {
		return backing.Transaction{}, nil, err
	}
	head, err := encode(revision.Head())
	if err != nil {
		return backing.Transaction{}, nil, err
	}
	operation, err := encode(operationRow{Head: revision.Head(), UnixMillis: s.cfg.Clock.Now().UnixMilli()})
	if err != nil {
		return backing.Transaction{}, nil, err
	}
	headCondition := backing.IfVersion
	if state.version == 0 {
		headCondition = backing.IfAbsent
	}
	tx := backing.Transaction{Writes: []backing.Write{
		{Table: Table, Key: RevisionKey(revision.Number), Condition: backing.IfAbsent, Value: encoded},
		{Table: Table, Key: headKey, Condition: headCondition, Version: state.version, Value: head},
		{Table: OperationTable, Key: req.Operation, Condition: backing.IfAbsent, Value: operation},
	}}
	if revision.Number%RevisionsPerSnapshot != 0 {
		return tx, encoded, nil
	}
	snapshot, err := revision.WithSnapshot(state.head.Digest, req.Config)
	if err != nil {
		return backing.Transaction{}, nil, err
	}
	data, err := snapshot.Encode()
	if err != nil {
		return backing.Transaction{}, nil, err
	}
	tx.Writes = append(tx.Writes, backing.Write{Table: Table, Key: snapshotKey(revision.Number), Condition: backing.IfAbsent, Value: data})
	return tx, encoded, nil
}

// afterConflict decides whether the next try can find out more. Only an id that
// was used for something else ends the request here.
func (s *Store) afterConflict(ctx context.Context, req Request, index int) error {
	if index != operationWrite {
		return merry.Wrap(errStale)
	}
	row, err := s.table.Get(ctx, OperationTable, req.Operation)
	if err != nil {
		return merry.Wrap(errStale, merry.WithCause(err))
	}
	op, err := decodeOperation(row.Value)
	if err != nil {
		return err
	}
	if op.State == OperationAbandoned || op.Head.Number != req.Expected+1 {
		return merry.Wrap(ErrOperationReused, merry.AppendMessage(req.Operation))
	}
	return merry.Wrap(errStale)
}
