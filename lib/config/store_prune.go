package config

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// prunePage is the number of operation ids that Prune reads and deletes at once.
const prunePage = 256

// Prune deletes the operation ids that are older than the retention and returns
// their number. It may be called by any process, at any time; a call once an
// hour is enough. A request that is repeated after its id was pruned is still
// not accepted twice, because it names the revision that it expects.
func (s *Store) Prune(ctx context.Context) (int, error) {
	limit := s.cfg.Clock.Now().Add(-s.cfg.OperationRetention)
	pruned, after := 0, ""
	for {
		rows, err := s.table.Scan(ctx, OperationTable, "", after, prunePage)
		if err != nil {
			return pruned, unavailable(err)
		}
		var tx backing.Transaction
		for _, row := range rows {
			op, err := decodeOperation(row.Value)
			if err != nil {
				return pruned, err
			}
			if op.Time.Before(limit) {
				tx.Writes = append(tx.Writes, backing.Write{Table: OperationTable, Key: row.Key, Condition: backing.IfVersion, Version: row.Version, Delete: true})
			}
			after = row.Key
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
		if len(rows) < prunePage {
			return pruned, nil
		}
	}
}
