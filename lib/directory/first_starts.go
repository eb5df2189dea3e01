package directory

import "time"

// maxFirstStarts bounds the IDs whose first start is kept.
const maxFirstStarts = 100_000

// firstStarts are the starts under which servers were first listed.
type firstStarts struct {
	byID map[string]int64
	// since is the time from which on the table has been followed without an outage.
	since time.Time
}

// follow records that the table is read, after an outage if recovered is set: starts may have
// been missed before. A full list without an outage replaces a history that was discarded.
func (f *firstStarts) follow(recovered bool, now time.Time) {
	if recovered || f.since.IsZero() {
		f.since = now
	}
}

// add records that a server is listed.
func (f *firstStarts) add(s *Server, now time.Time) {
	if _, ok := f.byID[s.ID]; ok {
		return
	}
	if len(f.byID) >= maxFirstStarts {
		f.byID, f.since = make(map[string]int64), now
	}
	f.byID[s.ID] = s.StartUnixMilli
}

// FirstStart reports whether a listed server is known to have started under its ID for the
// first time within window at least: the table has been followed for as long and has not
// shown an earlier start, or another server that started as long before had the address.
func (d *Directory) FirstStart(k Key, window time.Duration, now time.Time) bool {
	s := d.Get(k)
	if s == nil || k.StartUnixMilli == 0 || d.firstStarts.byID[k.ID] != k.StartUnixMilli {
		return false
	}
	if since := d.firstStarts.since; !since.IsZero() && now.Sub(since) >= window {
		return true
	}
	for _, other := range d.servers {
		if other.ID != k.ID && other.Address == s.Address && d.declared(other) && other.StartUnixMilli != 0 && k.StartUnixMilli-other.StartUnixMilli >= window.Milliseconds() {
			return true
		}
	}
	return false
}
