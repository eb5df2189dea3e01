package directory

import "time"

// maxEnded bounds the ended incarnations that are remembered, at about 100 bytes each. They
// matter for as long as a copy of the store may be old, which is some seconds.
const maxEnded = 4096

// endedRow is what is known of an incarnation whose row was deleted or replaced.
type endedRow struct {
	// revision is that of the last row that was read.
	revision int64
	at       time.Time
}

// rememberEnded records that the row of a server's incarnation is gone.
func (d *Directory) rememberEnded(s *Server, now time.Time) {
	if len(d.ended) >= maxEnded {
		d.evictEnded()
	}
	d.ended[s.Key()] = endedRow{revision: s.Revision, at: now}
}

func (d *Directory) evictEnded() {
	var oldest Key
	var oldestAt time.Time
	for k, e := range d.ended {
		if oldestAt.IsZero() || e.at.Before(oldestAt) {
			oldest, oldestAt = k, e.at
		}
	}
	delete(d.ended, oldest)
}
