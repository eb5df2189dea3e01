package placement

import "time"

// LeaseID identifies a lease that another entry has requested.
type LeaseID struct {
	Entry string
	// Incarnation differs between the process starts of an entry.
	Incarnation uint64
	// Number is the sequence number of the lease within an incarnation.
	Number uint64
}

// noticeGrace is how long the notice of a lease's end may take to arrive. A lease
// that is older and not listed by its entry counts as ended.
const noticeGrace = 200 * time.Millisecond

// LeaseTable holds the leases that were granted to other entries. Leases expire, as
// notices of their end may be lost and entries may stop without sending one. It is
// not safe for concurrent use.
type LeaseTable struct {
	picker *Picker
	leases map[string]map[LeaseID]*grantedLease
}

type grantedLease struct {
	*Lease
	// expiresAt is when the request has ended in any case.
	expiresAt time.Time
}

// NewLeaseTable returns an empty LeaseTable whose leases are placed by p.
func NewLeaseTable(p *Picker) *LeaseTable {
	return &LeaseTable{picker: p, leases: make(map[string]map[LeaseID]*grantedLease)}
}

// Grant places a request of another entry. It returns either a lease or a refusal.
func (t *LeaseTable) Grant(id LeaseID, req Request, now time.Time) (*Lease, *Refusal) {
	req.Entry = id.Entry
	lease, refusal := t.picker.Pick(req, now)
	if refusal != nil {
		return nil, refusal
	}
	if t.leases[id.Entry] == nil {
		t.leases[id.Entry] = make(map[LeaseID]*grantedLease)
	}
	t.leases[id.Entry][id] = &grantedLease{Lease: lease, expiresAt: now.Add(leaseTime(req.Remaining) + noticeGrace)}
	return lease, nil
}

// defaultLeaseTime bounds the leases of requests without a time limit.
const defaultLeaseTime = 30 * time.Second

func leaseTime(limit time.Duration) time.Duration {
	if limit <= 0 {
		return defaultLeaseTime
	}
	return limit
}

// ResponseStarted records that the head of the response to a leased request has arrived.
// It returns the lease with its current usage, or nil if it is unknown.
func (t *LeaseTable) ResponseStarted(id LeaseID, now time.Time) *Lease {
	return t.progress(id, t.picker.ResponseStarted, now)
}

// FirstEvent is like ResponseStarted for the first event.
func (t *LeaseTable) FirstEvent(id LeaseID, now time.Time) *Lease {
	return t.progress(id, t.picker.FirstEvent, now)
}

func (t *LeaseTable) progress(id LeaseID, record func(*Lease, time.Time) Usage, now time.Time) *Lease {
	l := t.leases[id.Entry][id]
	if l == nil {
		return nil
	}
	l.Usage = record(l.Lease, now)
	return l.Lease
}

// Done ends a lease. It returns the lease with its current usage, or nil if it is
// unknown.
func (t *LeaseTable) Done(id LeaseID, result Result, now time.Time) *Lease {
	l := t.leases[id.Entry][id]
	if l == nil {
		return nil
	}
	t.endLease(id, l, result, now)
	return l.Lease
}

func (t *LeaseTable) endLease(id LeaseID, l *grantedLease, result Result, now time.Time) {
	l.Usage = t.picker.Done(l.Lease, result, now)
	delete(t.leases[id.Entry], id)
	if len(t.leases[id.Entry]) == 0 {
		delete(t.leases, id.Entry)
	}
}

// Reconcile ends the leases of an entry that it no longer lists as open, as the
// notices of their ends were lost. Leases younger than noticeGrace stay. open lists
// the numbers of the open leases of the given incarnation.
func (t *LeaseTable) Reconcile(entry string, incarnation uint64, open []uint64, now time.Time) {
	listed := make(map[uint64]bool, len(open))
	for _, n := range open {
		listed[n] = true
	}
	for id, l := range t.leases[entry] {
		if (id.Incarnation != incarnation || !listed[id.Number]) && now.Sub(l.started) > noticeGrace {
			t.endLease(id, l, Rejected, now)
		}
	}
}

// Expire ends the leases whose time limit has passed.
func (t *LeaseTable) Expire(now time.Time) {
	for _, leases := range t.leases {
		for id, l := range leases {
			if now.After(l.expiresAt) {
				t.endLease(id, l, Rejected, now)
			}
		}
	}
}

// Len returns the number of open leases.
func (t *LeaseTable) Len() int {
	n := 0
	for _, leases := range t.leases {
		n += len(leases)
	}
	return n
}
