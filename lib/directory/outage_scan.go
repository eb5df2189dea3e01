package directory

// outageScan determines which rows may have expired while the store was unavailable.
// Servers refresh their rows at intervals, so that an outage of the store removes
// the rows of all servers of a failure domain. If one of them is unchanged, the
// store was unavailable for this instance only, and a missing row was deleted.
type outageScan struct {
	// unchanged counts the unchanged rows of each domain, total all rows of it.
	// totalUnchanged is the sum of the former over all domains.
	unchanged, total map[string]int
	totalUnchanged   int
}

// scanOutage counts the rows of the listed servers of declared services, except those
// that are expiring already.
func (d *Directory) scanOutage(isUnchanged func(*Server) bool) outageScan {
	scan := outageScan{unchanged: make(map[string]int), total: make(map[string]int)}
	for id, s := range d.servers {
		if _, expiring := d.expiring[id]; expiring || !d.declared(s) {
			continue
		}
		scan.total[s.Domain]++
		if isUnchanged(s) {
			scan.unchanged[s.Domain]++
			scan.totalUnchanged++
		}
	}
	return scan
}

// mayHaveExpired reports whether the row of a server of a domain may have expired.
// For a server that is alone in its domain, the rows of all domains count.
func (s *outageScan) mayHaveExpired(domain string) bool {
	if s.total[domain] <= 1 {
		return s.totalUnchanged == 0
	}
	return s.unchanged[domain] == 0
}
