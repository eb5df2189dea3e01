package claim

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// Prune deletes rows older than the retention plus the prune margin. It scans
// up to limit rows after the row key from and returns the key from which to
// continue, or "" at the end of the table. Several entries may prune at the
// same time. now is wall-clock time.
func (l *Ledger) Prune(ctx context.Context, now time.Time, from string, limit int) (next string, deleted int, err error) {
	rows, err := l.table.Scan(ctx, Table, "", from, limit)
	if err != nil {
		return from, 0, err
	}
	var writes []backing.Write
	for _, row := range rows {
		r, err := decodeRecord(row.Value)
		if err == nil && !r.olderThan(now, l.currentRetention()+l.config.PruneMargin) {
			continue
		}
		if err != nil {
			continue // row of another version of the program
		}
		writes = append(writes, backing.Write{
			Table: Table, Key: row.Key, Condition: backing.IfVersion, Version: row.Version, Delete: true,
		})
	}
	for _, err := range commitEach(ctx, l.table, writes) {
		if err == nil {
			deleted++
		}
	}
	if len(rows) < limit {
		return "", deleted, nil
	}
	return rows[len(rows)-1].Key, deleted, nil
}
