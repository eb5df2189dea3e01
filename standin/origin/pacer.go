package origin

import "time"

// linkPacer simulates a link of limited bandwidth that all readers share. It is not safe
// for concurrent use.
type linkPacer struct {
	rate   int64     // bytes per second; 0 means unlimited
	freeAt time.Time // time at which the link has sent all reserved bytes
}

// reserve reserves the link for n bytes and returns the time until they are sent.
func (p *linkPacer) reserve(now time.Time, n int) time.Duration {
	if p.rate == 0 {
		return 0
	}
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(n) / float64(p.rate) * float64(time.Second)))
	return p.freeAt.Sub(now)
}
