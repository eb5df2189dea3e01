package config

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// maxHistoryEntries is the maximum number of revisions that History returns.
const maxHistoryEntries = 500

// HistoryEntry is one revision in the history.
type HistoryEntry struct {
	Head   Head
	Change Change
}

// History returns up to limit revisions below the number before, newest first. If
// before is 0, it starts at the newest revision. A limit outside of 1 to
// maxHistoryEntries means maxHistoryEntries.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]HistoryEntry, error) {
	if limit < 1 || limit > maxHistoryEntries {
		limit = maxHistoryEntries
	}
	if before == 0 {
		head, err := s.Head(ctx)
		if err != nil {
			return nil, err
		}
		before = head.Number + 1
	}
	first := uint64(1)
	if before > uint64(limit) {
		first = before - uint64(limit)
	}
	rows, err := s.table.Scan(ctx, Table, revisionPrefix, RevisionKey(first-1), int(before-first)+maxForeignRows)
	if err != nil {
		return nil, storeUnavailable(err)
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		number, ok := revisionNumber(rows[i].Key)
		if !ok || number >= before {
			continue
		}
		revision, err := decodeNumbered(rows[i], number)
		if err != nil {
			return nil, err
		}
		change, err := revision.DecodeChange()
		if err != nil {
			return nil, err
		}
		entries = append(entries, HistoryEntry{Head: revision.Head(), Change: change})
	}
	return entries, nil
}

// Rollback applies the configuration of an earlier revision as a new revision. The
// Config of the request is ignored. It returns the errors of Get and Apply.
func (s *Store) Rollback(ctx context.Context, to uint64, req Request) (Result, error) {
	if to == 0 {
		return Result{}, merry.Wrap(ErrRevisionNotFound, merry.AppendMessage("revision 0"))
	}
	view, err := s.Get(ctx, to)
	if err != nil {
		return Result{}, err
	}
	req.Config = view.Config
	return s.Apply(ctx, req)
}
