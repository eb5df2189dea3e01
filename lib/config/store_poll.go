package config

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// PollResult contains the revisions that the store holds and a replica lacks.
type PollResult struct {
	// Head is the newest revision read. It equals that of the replica if there is
	// nothing new, and is zero if the store returned an older state than the
	// replica's.
	Head Head
	// Revisions are the encoded revisions for Replica.Apply, in order.
	Revisions [][]byte
	// More is true if the store may hold further revisions.
	More bool
	// Reads is the number of reads from the store that the poll made.
	Reads int
}

// Poll reads the revisions that a replica at the given head lacks. For a replica
// that is up to date it makes one read, which includes the replica's own revision
// so that stale reads and different histories are detected. For a new replica it
// makes two reads.
func (s *Store) Poll(ctx context.Context, at Head) (PollResult, error) {
	var p PollResult
	from := at.Number
	if at.Number == 0 {
		snapshot, err := s.newestSnapshot(ctx, &p)
		if err != nil {
			return p, err
		}
		from = snapshot
	} else {
		from--
	}
	p.Reads++
	rows, err := s.table.Scan(ctx, Table, revisionPrefix, RevisionKey(from), pollPageSize)
	if err != nil {
		return p, storeUnavailable(err)
	}
	p.More = len(rows) == pollPageSize
	if p.More {
		// A replica that is far behind skips to the newest snapshot, so that a
		// failure domain that was cut off does not page through days of changes.
		if _, err := s.newestSnapshot(ctx, &p); err != nil {
			return p, err
		}
		if len(p.Revisions) > 0 && p.Head.Number > from+pollPageSize {
			return p, nil
		}
		p.Revisions = nil
	}
	return p, p.add(rows, from, at)
}

// newestSnapshot adds the newest snapshot to p, if there is one, and returns its
// revision number or 0.
func (s *Store) newestSnapshot(ctx context.Context, p *PollResult) (uint64, error) {
	row, revision, reads, err := s.scanSnapshot(ctx, "")
	p.Reads += reads
	if err != nil || revision.Number == 0 {
		return 0, err
	}
	p.Head = revision.Head()
	p.Revisions = append(p.Revisions, row.Value)
	return revision.Number, nil
}

// add sets the head to the last revision of the rows after from, and appends the
// revisions that are higher than at.
func (p *PollResult) add(rows []backing.Row, from uint64, at Head) error {
	next := from + 1
	for _, row := range rows {
		revision, ok, err := decodeRevisionRow(row, next)
		if err != nil {
			return err
		}
		if !ok {
			continue
		}
		next = revision.Number + 1
		p.Head = revision.Head()
		if revision.Number > at.Number {
			p.Revisions = append(p.Revisions, row.Value)
		}
	}
	return nil
}
