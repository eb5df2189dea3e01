package route

import (
	"time"
)

// historySize and historyStep bound how far back the own outstanding count is
// known: two seconds cover the lag of load reports.
const (
	historySize = 8
	historyStep = 250 * time.Millisecond
)

// loadTracker estimates the load of one instance from what the entry sent
// itself, which is exact, and the lagging report, which also covers others.
type loadTracker struct {
	outstanding int
	capacity    int
	others      float64 // reported load that is not the entry's own
	sampledAt   instant // when the report was taken on the instance

	history [historySize]historyPoint
	newest  int
}

// historyPoint is the own outstanding count just before a time.
type historyPoint struct {
	at          instant
	outstanding int
}

// add changes the own outstanding count.
func (l *loadTracker) add(now instant, n int) {
	if now.sub(l.history[l.newest].at) >= historyStep {
		l.newest = (l.newest + 1) % historySize
		l.history[l.newest] = historyPoint{now, l.outstanding}
	}
	l.outstanding += n
}

// outstandingAt returns the own count at an earlier time, as far as known.
func (l *loadTracker) outstandingAt(at instant) int {
	count := l.outstanding
	for i := range historySize {
		p := l.history[(l.newest-i+historySize)%historySize]
		if p.at < at {
			break
		}
		count = p.outstanding
	}
	return count
}

// report takes a load report that the instance sampled age ago.
func (l *loadTracker) report(now instant, running, queued, capacity int, age time.Duration) {
	sampled := now.add(-age)
	if sampled < l.sampledAt {
		return
	}
	l.sampledAt = sampled
	l.others = float64(max(0, running+queued-l.outstandingAt(sampled)))
	if capacity > 0 {
		l.capacity = capacity
	}
}

// requests estimates how many requests the instance has. A report counts half at
// the age of halfLife; the hyperbola costs less than an exponential.
func (l *loadTracker) requests(now instant, halfLife time.Duration) float64 {
	if l.others == 0 {
		return float64(l.outstanding)
	}
	age := now.sub(l.sampledAt)
	return float64(l.outstanding) + l.others*float64(halfLife)/float64(halfLife+age)
}
