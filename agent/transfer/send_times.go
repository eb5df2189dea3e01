package transfer

import (
	"sync"
	"time"
)

const (
	// sendFactor is the number of average send times after which a send counts
	// as stalled. Fair sharing makes single sends several times slower.
	sendFactor = 8
	// minSend and maxSend bound that time. maxSend also holds until a send has
	// been observed.
	minSend, maxSend = 500 * time.Millisecond, 10 * time.Second
	// sendWeight is the weight of a new sample in the average.
	sendWeight = 0.25
)

// sendTimes observes how long sends of chunks take. It is safe for concurrent
// use.
type sendTimes struct {
	mu      sync.Mutex
	average time.Duration
}

func (t *sendTimes) add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.average == 0 {
		t.average = d
		return
	}
	t.average += time.Duration(sendWeight * float64(d-t.average))
}

func (t *sendTimes) limit() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.average == 0 {
		return maxSend
	}
	return min(max(t.average*sendFactor, minSend), maxSend)
}
