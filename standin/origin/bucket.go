package origin

import "time"

// bucket limits a rate. A request is admitted while the bucket is not
// overdrawn and may overdraw it, so that one large read is possible at all.
type bucket struct {
	rate   float64 // units per second; 0 means unlimited
	burst  float64
	tokens float64
	last   time.Time
}

func newBucket(perSecond int64, burst time.Duration, now time.Time) bucket {
	size := float64(perSecond) * burst.Seconds()
	return bucket{rate: float64(perSecond), burst: size, tokens: size, last: now}
}

// wait returns the time until a request is admitted; 0 means now.
func (b *bucket) wait(now time.Time) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
}

func (b *bucket) take(n float64) {
	if b.rate != 0 {
		b.tokens -= n
	}
}
