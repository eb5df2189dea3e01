package route

import "time"

// outlier counts the errors of one instance.
type outlier struct {
	consecutive int
	ejections   int
	until       instant
}

func (o *outlier) ejected(now instant) bool { return now < o.until }

// result counts one result and reports whether the instance should be ejected.
func (o *outlier) result(r Result, limit int) bool {
	switch r {
	case ResultOK:
		o.consecutive = 0
		if o.ejections > 0 {
			o.ejections--
		}
	case ResultError:
		o.consecutive++
	case ResultNeutral:
	}
	return o.consecutive >= limit
}

// eject takes the instance out until the returned time. One error after the
// end ejects it again.
func (o *outlier) eject(now instant, limit int, first, longest time.Duration) {
	d := first
	for range min(o.ejections, 16) {
		d = min(2*d, longest)
	}
	o.ejections++
	o.until = now.add(d)
	o.consecutive = limit - 1
}
