package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// queryTimeout is the wait for an answer within a region. It is well above a
	// round trip and the work, and small against the target of a first answer.
	queryTimeout = 30 * time.Millisecond
	// minAvoid and maxAvoid bound the time for which an entry that has not answered
	// is not asked again; it doubles each time.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
)

// queries are the questions to entries that place requests, and the leases that
// they have granted. It is safe for concurrent use.
type queries struct {
	start uint64

	mu   sync.Mutex
	last uint64
	// waiting gets the answers.
	waiting map[uint64]chan *peerlink.PlacementResponse
	// open are the leases by number, with the entry that granted each.
	open map[uint64]netip.AddrPort
	// avoided are entries that do not answer or decline.
	avoided map[netip.AddrPort]avoidance
}

// avoidance tells until when an entry is not asked, and how long that was.
type avoidance struct {
	until time.Time
	while time.Duration
}

func newQueries(start uint64) *queries {
	return &queries{
		start: start, waiting: make(map[uint64]chan *peerlink.PlacementResponse),
		open: make(map[uint64]netip.AddrPort), avoided: make(map[netip.AddrPort]avoidance),
	}
}

// begin returns the number of a new lease and the channel for its answer. It
// reports false if the entry is not to be asked now.
func (q *queries) begin(to netip.AddrPort, now time.Time) (lease uint64, answer chan *peerlink.PlacementResponse, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Before(q.avoided[to].until) {
		return 0, nil, false
	}
	q.last++
	answer = make(chan *peerlink.PlacementResponse, 1)
	q.waiting[q.last] = answer
	return q.last, answer, true
}

// answered passes an answer on. One that comes too late is dropped: the lease is
// not named as open any more, so that it ends at the entry that granted it.
func (q *queries) answered(a *peerlink.PlacementResponse) {
	if a.Incarnation != q.start {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if answer := q.waiting[a.Lease]; answer != nil {
		delete(q.waiting, a.Lease)
		answer <- a
	}
}

// granted ends a question with a lease.
func (q *queries) granted(lease uint64, by netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open[lease] = by
}

// sound takes note that an entry answers.
func (q *queries) sound(entry netip.AddrPort) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.avoided, entry)
}

// dropped ends a question whose answer nobody waits for.
func (q *queries) dropped(lease uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, lease)
}

// failed ends a question without an answer, or with one that declines. It returns
// the time for which the entry is not asked again.
func (q *queries) failed(lease uint64, to netip.AddrPort, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, lease)
	while := min(max(2*q.avoided[to].while, minAvoid), maxAvoid)
	q.avoided[to] = avoidance{until: now.Add(while), while: while}
	return while
}

// ended takes note that a lease is over.
func (q *queries) ended(lease uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.open, lease)
}

// maxNamedLeases bounds the leases that a question names; 100 of them take less
// than half of a datagram.
const maxNamedLeases = 100

// leases returns the numbers of the open leases that an entry has granted, and
// whether these are all.
func (q *queries) leases(by netip.AddrPort) (numbers []uint64, all bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for lease, entry := range q.open {
		if entry != by {
			continue
		}
		if len(numbers) == maxNamedLeases {
			return nil, false
		}
		numbers = append(numbers, lease)
	}
	return numbers, true
}
