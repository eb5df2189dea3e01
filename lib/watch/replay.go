package watch

// replay counts the data of rows in consecutive answers that are full. The zero value is
// ready for use.
type replay struct {
	// newest holds the size of the newest row of each key.
	newest map[string]int
	// kept is the sum of these sizes, replaced that of all earlier rows.
	kept, replaced int
}

// add counts the rows of an answer. It reports whether the answers so far consist for the
// most part of rows that later ones replace while further ones may wait, so that a full
// read takes less than going on.
func (r *replay) add(rows Rows) bool {
	if !rows.More {
		*r = replay{}
		return false
	}
	if r.newest == nil {
		r.newest = make(map[string]int)
	}
	for _, row := range rows.Rows {
		size, known := r.newest[row.Key]
		if known {
			r.kept -= size
			r.replaced += size
		}
		r.newest[row.Key] = len(row.Data)
		r.kept += len(row.Data)
	}
	return r.replaced > 0 && r.replaced >= r.kept
}
