package config

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// prunePageSize is the number of operation IDs that Prune reads and deletes at a
// time.
const prunePageSize = 256

// Prune deletes the operation IDs that are older than OperationRetention and
// returns their number. Any process may call it at any time; once an hour is
// sufficient. A request repeated after its ID was pruned is still not accepted
// twice, because it specifies the revision that it expects.
func (s *Store) Prune(ctx context.Context) (int, error) {
	cutoff := s.cfg.Clock.Now().Add(-s.cfg.OperationRetention)
	pruned, after := 0, ""
	for {
		rows, err := s.table.Scan(ctx, OperationTable, "", after, prunePageSize)
		if err != nil {
			return pruned, storeUnavailable(err)
		}
		var tx backing.Transaction
		for _, row := range rows {
			after = row.Key
			op, err := decodeOperation(row.Value)
			if err != nil {
				// The row may be of another writer.
				continue
			}
			if op.Time.Before(cutoff) {
				tx.Writes = append(tx.Writes, backing.Write{Table: OperationTable, Key: row.Key, Condition: backing.IfVersion, Version: row.Version, Delete: true})
			}
		}
		if len(tx.Writes) > 0 {
			err := s.table.Commit(ctx, tx)
			var conflict *backing.ConflictError
			if err != nil && !errors.As(err, &conflict) {
				return pruned, merry.Wrap(err)
			}
			if err == nil {
				pruned += len(tx.Writes)
			}
		}
		if len(rows) < prunePageSize {
			return pruned, nil
		}
	}
}
