package watch

import "time"

// Row is one row of a table, or the record of its deletion.
type Row struct {
	Key     string
	Data    []byte
	Deleted bool
	// Revision is the transaction that wrote or deleted the row.
	Revision int64
	// WrittenAfter is a time before which the row had not changed since it was last read, or
	// at which the store or the path to it was disturbed later, on the clock of the source;
	// zero if that is unknown.
	WrittenAfter time.Time
}

// Rows are rows of one table as of one state of the store.
type Rows struct {
	Rows []Row
	// Era and Revision are the Position of that state.
	Era, Revision int64
	// More means that the answer holds as much as the store returns at once, so that further
	// rows may wait.
	More bool
	// AfterOutage marks the first rows after an outage of the store.
	AfterOutage bool
	// Relayed means that another instance has read the store since the requested revision,
	// so that failed calls of this instance say nothing about the rows.
	Relayed bool
	// OutageEnd is the revision of the first read of that instance after its last outage of
	// the store, if AfterOutage is set. Rows that were deleted later have not expired during it.
	OutageEnd int64
	// Restored marks a full read soon after the store was restored from an earlier copy: rows
	// may be missing that will be written again, and rows may be back that had been deleted.
	Restored bool
}

// Position returns the state of the store that the rows were read from.
func (r Rows) Position() Position { return Position{Era: r.Era, Revision: r.Revision} }

// splitUnexpired separates relayed rows whose deletion is not due to an outage from the
// others.
func (r *Rows) splitUnexpired() (unexpired, others Rows) {
	if !r.Relayed {
		return Rows{}, *r
	}
	unexpired, others = *r, *r
	unexpired.Rows, others.Rows = nil, nil
	for _, row := range r.Rows {
		if row.Deleted && (!r.AfterOutage || row.Revision > r.OutageEnd) {
			unexpired.Rows = append(unexpired.Rows, row)
		} else {
			others.Rows = append(others.Rows, row)
		}
	}
	return unexpired, others
}

// newest returns the rows without those that a later one of the same key replaces.
func (r *Rows) newest() Rows {
	last := make(map[string]int, len(r.Rows))
	for i, row := range r.Rows {
		last[row.Key] = i
	}
	newest := *r
	newest.Rows = nil
	for i, row := range r.Rows {
		if last[row.Key] == i {
			newest.Rows = append(newest.Rows, row)
		}
	}
	return newest
}
