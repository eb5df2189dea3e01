package attempt

import "time"

// bucket holds retry tokens. Successes and time fill it up to its size.
type bucket struct {
	tokens float64
	filled time.Time
}

func (b *bucket) fill(now time.Time, perSecond, size float64) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(size, b.tokens+elapsed.Seconds()*perSecond)
		b.filled = now
	}
}
