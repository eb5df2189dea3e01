package attempt

import "time"

// bucket is a token bucket for retries. Successful requests and elapsed time
// refill it up to its size.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

func (b *bucket) fill(now time.Time, perSecond, size float64) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(size, b.tokens+elapsed.Seconds()*perSecond)
		b.filledAt = now
	}
}
