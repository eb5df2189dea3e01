package origin

import "time"

// pacer spreads the bytes of all readers over the rate of one link.
type pacer struct {
	rate int64 // bytes per second; 0 means unlimited
	free time.Time
}

// reserve returns how long a reader waits before it passes n bytes on.
func (p *pacer) reserve(now time.Time, n int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / float64(p.rate) * float64(time.Second)))
	return p.free.Sub(now)
}
