package transfer

import (
	"sync"
	"time"
)

const (
	// sendTimeoutFactor is the multiple of the average send time after which a
	// send counts as stalled. Fair sharing of a link makes single sends several
	// times slower.
	sendTimeoutFactor = 8
	// minSendTimeout and maxSendTimeout limit the send timeout. maxSendTimeout
	// also applies until a send time has been observed.
	minSendTimeout, maxSendTimeout = 500 * time.Millisecond, 10 * time.Second
	// sendSampleWeight is the weight of a new sample in the moving average.
	sendSampleWeight = 0.25
)

// sendTimes is a moving average of the time that it takes to send a chunk. It
// is safe for concurrent use.
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
	t.average += time.Duration(sendSampleWeight * float64(d-t.average))
}

// timeout returns the time after which a send counts as stalled.
func (t *sendTimes) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.average == 0 {
		return maxSendTimeout
	}
	return min(max(t.average*sendTimeoutFactor, minSendTimeout), maxSendTimeout)
}
