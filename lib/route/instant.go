package route

import "time"

// instant is a time as the distance from a base that a Picker chooses once. A
// pick compares hundreds of times, and integers compare in a fraction of the
// time that time.Time takes. The zero value is before all instants that occur.
type instant time.Duration

// baseAge keeps all instants positive.
const baseAge = 24 * time.Hour

// instant converts a time. The first one sets the base.
func (p *Picker) instant(now time.Time) instant {
	if p.base.IsZero() {
		p.base = now.Add(-baseAge)
	}
	return instant(now.Sub(p.base))
}

func (i instant) sub(other instant) time.Duration { return time.Duration(i - other) }

func (i instant) add(d time.Duration) instant { return i + instant(d) }
