package placement

import "time"

// LeaseID names a lease that an entry asked for. It is unique for one start of the
// entry.
type LeaseID struct {
	Entry string
	// Incarnation differs between the starts of an entry.
	Incarnation uint64
	// Number counts the entry's leases.
	Number uint64
}

// endNoticeTime is how long the notice of a lease's end may be on its way: a lease
// that its entry no longer names counts as ended after it.
const endNoticeTime = 200 * time.Millisecond

// LeaseTable keeps the leases that other entries have asked for. Notices of their
// ends may be lost, and entries may end without one.
type LeaseTable struct {
	picker *Picker
	leases map[string]map[LeaseID]*granted
}

type granted struct {
	*Lease
	// until is when the request is over in any case.
	until time.Time
}

// NewLeaseTable returns a Granted without leases.
func NewLeaseTable(p *Picker) *LeaseTable {
	return &LeaseTable{picker: p, leases: make(map[string]map[LeaseID]*granted)}
}

// Grant places a request of another entry.
func (g *LeaseTable) Grant(id LeaseID, d Request, now time.Time) (*Lease, *Refusal) {
	d.Entry = id.Entry
	lease, refusal := g.picker.Pick(d, now)
	if refusal != nil {
		return nil, refusal
	}
	if g.leases[id.Entry] == nil {
		g.leases[id.Entry] = make(map[LeaseID]*granted)
	}
	g.leases[id.Entry][id] = &granted{Lease: lease, until: now.Add(leaseTime(d.Remaining) + endNoticeTime)}
	return lease, nil
}

// unlimitedLeaseTime bounds the leases of requests that set no limit.
const unlimitedLeaseTime = 30 * time.Second

func leaseTime(limit time.Duration) time.Duration {
	if limit <= 0 {
		return unlimitedLeaseTime
	}
	return limit
}

// ResponseStarted takes note that a lease's first answer has arrived. It returns the
// lease, or nil if it is not known.
func (g *LeaseTable) ResponseStarted(id LeaseID, now time.Time) *Lease {
	l := g.leases[id.Entry][id]
	if l == nil {
		return nil
	}
	l.Usage = g.picker.ResponseStarted(l.Lease, now)
	return l.Lease
}

// Done ends a lease. It returns the lease, or nil if it is not known.
func (g *LeaseTable) Done(id LeaseID, result Result, now time.Time) *Lease {
	l := g.leases[id.Entry][id]
	if l == nil {
		return nil
	}
	g.end(id, l, result, now)
	return l.Lease
}

func (g *LeaseTable) end(id LeaseID, l *granted, result Result, now time.Time) {
	l.Usage = g.picker.Done(l.Lease, result, now)
	delete(g.leases[id.Entry], id)
	if len(g.leases[id.Entry]) == 0 {
		delete(g.leases, id.Entry)
	}
}

// Reconcile ends the leases of an entry that it no longer names, as the notices of
// their ends were lost. open are the numbers of those that it has.
func (g *LeaseTable) Reconcile(entry string, start uint64, open []uint64, now time.Time) {
	named := make(map[uint64]bool, len(open))
	for _, n := range open {
		named[n] = true
	}
	for id, l := range g.leases[entry] {
		if (id.Incarnation != start || !named[id.Number]) && now.Sub(l.started) > endNoticeTime {
			g.end(id, l, Rejected, now)
		}
	}
}

// Expire ends the leases whose time is over.
func (g *LeaseTable) Expire(now time.Time) {
	for _, leases := range g.leases {
		for id, l := range leases {
			if now.After(l.until) {
				g.end(id, l, Rejected, now)
			}
		}
	}
}

// Len returns the number of leases.
func (g *LeaseTable) Len() int {
	n := 0
	for _, leases := range g.leases {
		n += len(leases)
	}
	return n
}
