package route

import (
	"time"
)

// historySize and historyStep determine how far back the entry's own
// outstanding count is known: 2 s cover the lag of load reports.
const (
	historySize = 8
	historyStep = 250 * time.Millisecond
)

// loadTracker estimates the load of one instance from the requests that this
// entry sent, which is exact, and from the lagging load report, which also
// covers other entries.
type loadTracker struct {
	outstanding   int
	capacity      int
	otherRequests float64 // reported requests that are not from this entry
	sampledAt     instant // time at which the instance took the report

	history [historySize]historyPoint
	newest  int
}

// historyPoint is the entry's own outstanding count just before a time.
type historyPoint struct {
	at          instant
	outstanding int
}

// addOutstanding changes the entry's own outstanding count by n.
func (l *loadTracker) addOutstanding(now instant, n int) {
	if now.sub(l.history[l.newest].at) >= historyStep {
		l.newest = (l.newest + 1) % historySize
		l.history[l.newest] = historyPoint{now, l.outstanding}
	}
	l.outstanding += n
}

// outstandingAt returns the entry's own outstanding count at an earlier time,
// as far back as the history reaches.
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

// applyReport applies a load report that the instance took age ago. Reports
// older than the last one are ignored.
func (l *loadTracker) applyReport(now instant, running, queued, capacity int, age time.Duration) {
	sampled := now.add(-age)
	if sampled < l.sampledAt {
		return
	}
	l.sampledAt = sampled
	l.otherRequests = float64(max(0, running+queued-l.outstandingAt(sampled)))
	if capacity > 0 {
		l.capacity = capacity
	}
}

// requests estimates the number of requests on the instance. The weight of a
// report is halved at the age halfLife; a hyperbola is cheaper to compute than
// an exponential.
func (l *loadTracker) requests(now instant, halfLife time.Duration) float64 {
	if l.otherRequests == 0 {
		return float64(l.outstanding)
	}
	age := now.sub(l.sampledAt)
	return float64(l.outstanding) + l.otherRequests*float64(halfLife)/float64(halfLife+age)
}
