package origin

import "time"

// tokenBucket is a rate limiter. It admits a request while its balance is positive. The
// request may overdraw the balance, because a read larger than the burst would never be
// admitted otherwise. It is not safe for concurrent use.
type tokenBucket struct {
	perSecond float64 // units per second; 0 means unlimited
	burst     float64 // maximum balance in units
	tokens    float64 // balance in units; negative if overdrawn
	last      time.Time
}

func newTokenBucket(perSecond int64, burst time.Duration, now time.Time) tokenBucket {
	size := float64(perSecond) * burst.Seconds()
	return tokenBucket{perSecond: float64(perSecond), burst: size, tokens: size, last: now}
}

// wait returns the time until a request is admitted. It is 0 if one is admitted now.
func (b *tokenBucket) wait(now time.Time) time.Duration {
	if b.perSecond == 0 {
		return 0
	}
	b.tokens = min(b.burst, b.tokens+b.perSecond*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / b.perSecond * float64(time.Second))
}

// take deducts n units from the balance.
func (b *tokenBucket) take(n float64) {
	if b.perSecond != 0 {
		b.tokens -= n
	}
}
