package route

import "time"

// instant is a time relative to a base that a Picker chooses once. A pick
// compares hundreds of times, and comparing integers is much faster than
// comparing time.Time values. The zero value is before all instants that occur.
type instant time.Duration

// baseOffset keeps all instants positive.
const baseOffset = 24 * time.Hour

// instant converts a time. The first call sets the base.
func (p *Picker) instant(now time.Time) instant {
	if p.base.IsZero() {
		p.base = now.Add(-baseOffset)
	}
	return instant(now.Sub(p.base))
}

func (i instant) sub(other instant) time.Duration { return time.Duration(i - other) }

func (i instant) add(d time.Duration) instant { return i + instant(d) }
