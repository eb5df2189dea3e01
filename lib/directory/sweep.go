package directory

// sweep tells which rows may have lapsed while the store was away: servers report
// there at intervals, so that an outage takes the rows of all servers of a failure
// domain. Where one of them stands as it did before, the store was away for this
// instance only, and a row that is gone was taken out.
type sweep struct {
	// standing counts the rows of each domain that stand as before, known all rows of
	// it; anyStanding counts the former of all domains.
	standing, known map[string]int
	anyStanding     int
}

// sweepOf looks at all listed servers but those whose row has lapsed already.
func (d *Directory) sweepOf(stands func(*Server) bool) sweep {
	w := sweep{standing: make(map[string]int), known: make(map[string]int)}
	for id, s := range d.servers {
		if _, lapsed := d.lapsed[id]; lapsed {
			continue
		}
		w.known[s.Domain]++
		if stands(s) {
			w.standing[s.Domain]++
			w.anyStanding++
		}
	}
	return w
}

// took reports whether the row of a server of a domain may have lapsed. One that was
// alone in its domain is compared with all others.
func (w *sweep) took(domain string) bool {
	if w.known[domain] <= 1 {
		return w.anyStanding == 0
	}
	return w.standing[domain] == 0
}
