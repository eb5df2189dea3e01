package route

import "time"

// outlier tracks the errors and ejections of one instance.
type outlier struct {
	consecutive  int
	ejections    int
	ejectedUntil instant
}

func (o *outlier) ejected(now instant) bool { return now < o.ejectedUntil }

// record records a result and reports whether the instance should be ejected.
func (o *outlier) record(r Result, threshold int) bool {
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
	return o.consecutive >= threshold
}

// eject ejects the instance; the duration doubles with each ejection, up to
// longest. A single error after the end ejects it again.
func (o *outlier) eject(now instant, threshold int, first, longest time.Duration) {
	d := first
	for range min(o.ejections, 16) {
		d = min(2*d, longest)
	}
	o.ejections++
	o.ejectedUntil = now.add(d)
	o.consecutive = threshold - 1
}
