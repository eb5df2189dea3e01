package gateway

import (
	"net/netip"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/peerlink"
)

const (
	// placementTimeout bounds the wait for the response of a placer, an entry that
	// places the requests of all entries of its region. It is well above a round trip
	// plus the processing time, and short against the latency target of a first
	// response.
	placementTimeout = 30 * time.Millisecond
	// minBackoff and maxBackoff bound the time for which an entry that has not
	// responded is not asked again. It doubles with each failure.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// pendingPlacements tracks placement requests to other entries, and the leases that
// they have granted. It is safe for concurrent use.
type pendingPlacements struct {
	incarnation uint64
	// timeout is placementTimeout. Specs use a longer one.
	timeout time.Duration

	mu        sync.Mutex
	lastLease uint64
	// waiting maps the numbers of leases that are being requested to the channels for
	// the responses.
	waiting map[uint64]chan *peerlink.PlacementResponse
	// granted maps the open leases to the entries that granted them.
	granted map[uint64]netip.AddrPort
	// backoffs holds entries that did not respond or declined.
	backoffs map[netip.AddrPort]backoff
}

// backoff tells until when an entry is not asked, and the length of that period.
type backoff struct {
	until    time.Time
	duration time.Duration
}

func newPendingPlacements(incarnation uint64) *pendingPlacements {
	return &pendingPlacements{
		incarnation: incarnation, timeout: placementTimeout, waiting: make(map[uint64]chan *peerlink.PlacementResponse),
		granted: make(map[uint64]netip.AddrPort), backoffs: make(map[netip.AddrPort]backoff),
	}
}

// begin returns the number of a new lease and the channel for the response. ok is
// false if the entry must not be asked now.
func (p *pendingPlacements) begin(to netip.AddrPort, now time.Time) (lease uint64, response chan *peerlink.PlacementResponse, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.backoffs[to].until) {
		return 0, nil, false
	}
	p.lastLease++
	response = make(chan *peerlink.PlacementResponse, 1)
	p.waiting[p.lastLease] = response
	return p.lastLease, response, true
}

// deliver passes a response on to the goroutine that waits for it. A late response
// is dropped: its lease is not listed as open in later requests, so that the placer
// ends it.
func (p *pendingPlacements) deliver(resp *peerlink.PlacementResponse) {
	if resp.Incarnation != p.incarnation {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if response := p.waiting[resp.Lease]; response != nil {
		delete(p.waiting, resp.Lease)
		response <- resp
	}
}

// recordGrant ends a placement request with a granted lease.
func (p *pendingPlacements) recordGrant(lease uint64, by netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted[lease] = by
}

// markResponsive records that an entry responded, which ends its backoff.
func (p *pendingPlacements) markResponsive(entry netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.backoffs, entry)
}

// abandon ends a placement request whose response is no longer needed.
func (p *pendingPlacements) abandon(lease uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, lease)
}

// recordFailure ends a placement request that was declined or got no response. It
// returns the time for which the entry is not asked again.
func (p *pendingPlacements) recordFailure(lease uint64, to netip.AddrPort, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, lease)
	duration := min(max(2*p.backoffs[to].duration, minBackoff), maxBackoff)
	p.backoffs[to] = backoff{until: now.Add(duration), duration: duration}
	return duration
}

// endLease removes a lease that has ended.
func (p *pendingPlacements) endLease(lease uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.granted, lease)
}

// maxListedLeases bounds the open leases that a placement request lists; 100 of them
// take less than half of a datagram.
const maxListedLeases = 100

// openLeases returns the numbers of the open leases that an entry has granted.
// complete is false, and the list empty, if there are more than maxListedLeases.
func (p *pendingPlacements) openLeases(by netip.AddrPort) (numbers []uint64, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for lease, entry := range p.granted {
		if entry != by {
			continue
		}
		if len(numbers) == maxListedLeases {
			return nil, false
		}
		numbers = append(numbers, lease)
	}
	return numbers, true
}
