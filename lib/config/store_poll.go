package config

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/backing"
)

// PollResult is what the store holds beyond a replica's revision.
type PollResult struct {
	// Head is the newest revision read; it equals the replica's if there is
	// nothing new. It is zero when the store showed an older state than the
	// replica's.
	Head Head
	// Revisions are the revisions for Replica.Offer, in order.
	Revisions [][]byte
	// More is true when the store holds further revisions.
	More bool
	// Reads is the number of reads that the poll took.
	Reads int
}

// Poll reads what a replica at the given revision lacks. A replica that is up
// to date costs one read, which includes its own revision to detect stale reads
// and a foreign history; a new one costs two.
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
	rows, err := s.table.Scan(ctx, Table, revisionPrefix, RevisionKey(from), pollPage)
	if err != nil {
		return p, unavailable(err)
	}
	p.More = len(rows) == pollPage
	if p.More {
		// A replica that is far behind skips the revisions before the newest
		// snapshot, so that a healed domain does not page through days.
		if _, err := s.newestSnapshot(ctx, &p); err != nil {
			return p, err
		}
		if len(p.Revisions) > 0 && p.Head.Number > from+pollPage {
			return p, nil
		}
		p.Revisions = nil
	}
	return p, p.add(rows, at)
}

func (s *Store) newestSnapshot(ctx context.Context, p *PollResult) (uint64, error) {
	p.Reads++
	rows, err := s.table.Scan(ctx, Table, snapshotPrefix, "", 1)
	if err != nil {
		return 0, unavailable(err)
	}
	if len(rows) == 0 {
		return 0, nil
	}
	revision, err := DecodeRevision(rows[0].Value)
	if err != nil {
		return 0, err
	}
	p.Head = revision.Head()
	p.Revisions = append(p.Revisions, rows[0].Value)
	return revision.Number, nil
}

func (p *PollResult) add(rows []backing.Row, at Head) error {
	for _, row := range rows {
		revision, err := DecodeRevision(row.Value)
		if err != nil {
			return err
		}
		p.Head = revision.Head()
		if revision.Number > at.Number {
			p.Revisions = append(p.Revisions, row.Value)
		}
	}
	return nil
}
