package ratelimit

import "time"

// Limit is the newest known limit of one incarnation of a backend server. The zero
// value is no limit. It is not safe for concurrent use.
type Limit struct {
	// PerSecond is the limit in requests per second; zero means none.
	PerSecond float64
	// StatedAt is when the server stated it.
	StatedAt time.Time
}

// Observe records the statement of a response and reports whether the limit has
// changed. A response without a limit counts from the time at which its request was
// sent: it may have been made before a limit that arrived earlier.
func (l *Limit) Observe(s Statement, sent, received time.Time) bool {
	switch {
	case !s.Known:
		return false
	case s.PerSecond > 0:
		return l.Merge(s.PerSecond, received)
	default:
		return l.Merge(0, sent)
	}
}

// Merge records a limit that was stated at a certain time, unless a newer one is known or
// Parse would never return it. It reports whether the limit has changed.
func (l *Limit) Merge(perSecond float64, statedAt time.Time) bool {
	valid := perSecond == 0 || perSecond >= minPerSecond && perSecond <= maxPerSecond
	if !valid || !statedAt.After(l.StatedAt) {
		return false
	}
	changed := perSecond != l.PerSecond
	l.PerSecond, l.StatedAt = perSecond, statedAt
	return changed
}

// Interval returns the time between two requests for a share of the limit. ok is
// false if the share allows none. It must not be called without a limit.
func (l *Limit) Interval(share float64) (interval time.Duration, ok bool) {
	rate := l.PerSecond * share
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(time.Second) / rate), true
}
