package relay

import "time"

// holdShare is the part of the time for one query for which the instance may hold it, so that
// its answer arrives before the query ends.
const holdShare = 0.9

// beginDeadline starts the time in which other instances are asked, when there was no answer
// before: an instance that starts, or whose call to the store has failed. A call that waits for
// changes follows a successful one, whose rows may have taken long to apply.
func (s *Source) beginDeadline(wait time.Duration) {
	switch {
	case s.storeFailed:
		s.deadline.failed()
	case wait > 0, s.cache.known().Revision < 0:
		s.deadline.confirmed()
	}
}

// limitQuery limits the next query. One that waits for changes ends at the deadline, which
// messages of the instance extend. Any other one has its share of the time until then, or all
// of it once the instance has told that it holds the query.
func (s *Source) limitQuery(wait time.Duration, remaining int) {
	c := &s.client
	c.behind, c.limit = nil, s.deadline.at
	if wait > 0 {
		c.behind = s.deadline.behind
	} else {
		c.limit = s.deadline.share(remaining)
		if end := time.Now().Add(time.Duration(float64(c.hold) / holdShare)); c.hold > 0 && end.Before(c.limit) {
			c.limit = end
		}
		c.hold = min(c.hold, fraction(time.Until(c.limit), holdShare))
	}
	c.confirmed = func(age rowAge, held bool) time.Time {
		if held {
			return s.deadline.at
		}
		return s.deadline.alive(age)
	}
}
