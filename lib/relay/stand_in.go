package relay

import "time"

// standIn is the state of an instance that reads the store for others for a while although
// another one comes before it in the order. Followers of that one have asked for this. The
// zero value is an instance that does not.
type standIn struct {
	// until is the end of the time for which this instance stands in.
	until time.Time
	// asked is closed and replaced when the time begins; nil if nothing waits for it.
	asked chan struct{}
}

// ask extends the time until a later one.
func (s *standIn) ask(now, until time.Time) {
	if !s.active(now) && s.asked != nil {
		close(s.asked)
		s.asked = nil
	}
	s.until = until
}

func (s *standIn) active(now time.Time) bool { return now.Before(s.until) }

// await returns a channel that is closed when the time begins, or that is closed already.
func (s *standIn) await(now time.Time) <-chan struct{} {
	if s.active(now) {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if s.asked == nil {
		s.asked = make(chan struct{})
	}
	return s.asked
}

// askToStandIn makes this instance read the store for a while.
func (c *Cache) askToStandIn(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standIn.ask(now, now.Add(fraction(c.config.MaxPropagation, standInFraction)))
}

// standsIn reports whether this instance reads the store for others of an earlier rank.
func (c *Cache) standsIn(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standIn.active(now)
}

// standInAsked returns a channel that is closed once this instance is asked to stand in.
func (c *Cache) standInAsked(now time.Time) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standIn.await(now)
}
