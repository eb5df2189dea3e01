package config

import (
	"context"
	"math"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// maxForeignRows is the number of rows of other writers that are skipped in one scan of
// snapshots, and for which there is room in a scan of the history.
const maxForeignRows = 8

// revisionNumber returns the number of a revision from its row key. It returns false if
// the key is not that of a revision.
func revisionNumber(key string) (uint64, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, revisionPrefix), 10, 64)
	return n, err == nil && key == RevisionKey(n)
}

// snapshotNumber is like revisionNumber for snapshots.
func snapshotNumber(key string) (uint64, bool) {
	n, err := strconv.ParseUint(strings.TrimPrefix(key, snapshotPrefix), 10, 64)
	return math.MaxUint64 - n, err == nil && key == snapshotKey(math.MaxUint64-n)
}

// decodeNumbered decodes a row that must contain the revision with the given number.
func decodeNumbered(row backing.Row, number uint64) (Revision, error) {
	revision, err := DecodeRevision(row.Value)
	if err == nil && revision.Number != number {
		err = merry.Wrap(ErrMalformed, merry.AppendMessagef("revision %d in the row of revision %d", revision.Number, number))
	}
	return revision, err
}

// decodeRevisionRow decodes a row whose key begins with revisionPrefix. It returns false
// for rows of other writers: those without the key of a revision, and those that cannot
// be decoded and do not stand in the place of the next revision.
func decodeRevisionRow(row backing.Row, next uint64) (Revision, bool, error) {
	number, ok := revisionNumber(row.Key)
	if !ok {
		return Revision{}, false, nil
	}
	revision, err := decodeNumbered(row, number)
	if err != nil && number != next {
		return Revision{}, false, nil
	}
	return revision, err == nil, err
}

// scanSnapshot returns the row of the first snapshot whose key is greater than after,
// and the number of reads. Rows of other writers are skipped; number is 0 if there is
// no snapshot.
func (s *Store) scanSnapshot(ctx context.Context, after string) (row backing.Row, revision Revision, reads int, err error) {
	for range maxForeignRows {
		reads++
		rows, err := s.table.Scan(ctx, Table, snapshotPrefix, after, 1)
		if err != nil {
			return row, revision, reads, storeUnavailable(err)
		}
		if len(rows) == 0 {
			break
		}
		if number, ok := snapshotNumber(rows[0].Key); ok {
			if revision, err := decodeNumbered(rows[0], number); err == nil {
				return rows[0], revision, reads, nil
			}
		}
		after = rows[0].Key
	}
	return row, revision, reads, nil
}
