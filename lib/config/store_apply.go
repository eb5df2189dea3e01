package config

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// operationWriteIndex is the index of the write of the operation ID in the
// transaction.
const operationWriteIndex = 2

// Apply validates a request and commits it as the next revision. The errors
// *InvalidError, *RevisionConflictError and ErrOperationReused mean that the
// request was definitely not accepted. *UnknownOutcomeError means that the store
// did not confirm the outcome; a dry run returns the last error from the store
// instead. Repeating a request with the same operation ID is always safe, because
// it can only become the revision after Expected.
func (s *Store) Apply(ctx context.Context, req Request) (Result, error) {
	if err := validateRequest(req); err != nil {
		return Result{}, err
	}
	var err error
	for retries := 0; ; retries++ {
		var result Result
		result, err = s.attempt(ctx, req)
		if !isRetryable(err) {
			return result, err
		}
		if retries == s.cfg.MaxRetries || s.cfg.Sleep(ctx, s.cfg.RetryDelay<<retries) != nil {
			break
		}
	}
	if req.DryRun {
		return Result{}, err
	}
	return Result{}, merry.Wrap(&UnknownOutcomeError{Operation: req.Operation, Cause: err})
}

// errStaleRead means that a read returned an older state than is known to exist.
var errStaleRead = merry.New("configuration store returned stale data")

func isRetryable(err error) bool {
	if err == nil {
		return false
	}
	for _, retryable := range []error{errStaleRead, ErrStoreUnavailable, ErrRevisionNotFound, backing.ErrUnknown, backing.ErrNotApplied} {
		if errors.Is(err, retryable) {
			return true
		}
	}
	return false
}

// attempt tries to apply a request once. It may follow an attempt with unknown
// outcome: that one has either become revision Expected+1, which this attempt
// finds, or will conflict with the revision that this attempt commits.
func (s *Store) attempt(ctx context.Context, req Request) (Result, error) {
	state, err := s.latestState(ctx)
	if err != nil {
		return Result{}, err
	}
	switch {
	case state.head.Number < req.Expected:
		return Result{}, s.rejectFuture(ctx, req, state)
	case state.head.Number > req.Expected:
		return s.resolveOutdated(ctx, req, state)
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

// commit writes the request as the revision after state.
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
		return Result{}, s.resolveCommitConflict(ctx, req, conflict.Index)
	}
	if err != nil {
		return Result{}, merry.Wrap(err)
	}
	result.Head, result.EncodedRevision = revision.Head(), encoded
	return result, nil
}

// transaction returns the transaction that inserts the revision, updates the head
// and inserts the operation ID, together with the encoded revision. Every
// RevisionsPerSnapshot revisions it also inserts a snapshot.
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
	if state.headVersion == 0 {
		headCondition = backing.IfAbsent
	}
	tx := backing.Transaction{Writes: []backing.Write{
		{Table: Table, Key: RevisionKey(revision.Number), Condition: backing.IfAbsent, Value: encoded},
		{Table: Table, Key: headKey, Condition: headCondition, Version: state.headVersion, Value: head},
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

// resolveCommitConflict returns errStaleRead, on which Apply retries and resolves
// the conflict from a new read, unless the operation ID belongs to another change
// or was abandoned.
func (s *Store) resolveCommitConflict(ctx context.Context, req Request, index int) error {
	if index != operationWriteIndex {
		return merry.Wrap(errStaleRead)
	}
	row, err := s.table.Get(ctx, OperationTable, req.Operation)
	if err != nil {
		return merry.Wrap(errStaleRead, merry.WithCause(err))
	}
	op, err := decodeOperation(row.Value)
	if err != nil {
		return err
	}
	if op.State == OperationAbandoned || op.Head.Number != req.Expected+1 {
		return merry.Wrap(ErrOperationReused, merry.AppendMessage(req.Operation))
	}
	return merry.Wrap(errStaleRead)
}
