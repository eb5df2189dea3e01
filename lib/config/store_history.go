package config

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// maxHistory bounds the revisions of one answer.
const maxHistory = 500

// HistoryEntry is one line of the history.
type HistoryEntry struct {
	Head   Head
	Change Change
}

// History returns up to limit revisions before a number, newest first; before 0
// starts at the newest.
func (s *Store) History(ctx context.Context, before uint64, limit int) ([]HistoryEntry, error) {
	if limit < 1 || limit > maxHistory {
		limit = maxHistory
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
	rows, err := s.table.Scan(ctx, Table, revisionPrefix, RevisionKey(first-1), int(before-first))
	if err != nil {
		return nil, unavailable(err)
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		revision, err := DecodeRevision(rows[i].Value)
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

// Rollback makes the configuration of an earlier revision the next one. Config
// of the request is ignored. Errors are those of Apply, and ErrRevisionNotFound.
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
