package gate

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

// ObserveRateLimit records what a response of the backend server says about its rate
// limit. sent is when the request was sent. It reports whether the limit has changed.
func (c *Core) ObserveRateLimit(s ratelimit.Statement, sent, now time.Time) bool {
	if sent.After(c.lastRequestAt) {
		// This includes requests without an admission, which resume a stream.
		c.lastRequestAt = sent
	}
	return c.limit.Observe(s, sent, now)
}

// rateLimitWait returns the time until the rate limit of the backend server allows
// another request.
func (c *Core) rateLimitWait(now time.Time) time.Duration {
	return max(0, c.lastRequestAt.Add(c.requestInterval()).Sub(now))
}

// requestInterval is the time between two requests that the rate limit allows; zero
// without a limit.
func (c *Core) requestInterval() time.Duration {
	if c.limit.PerSecond <= 0 {
		return 0
	}
	interval, _ := c.limit.Interval(1)
	return interval
}

// ObserveRateLimit is Core.ObserveRateLimit for a request that was sent some time ago.
func (g *Gate) ObserveRateLimit(s ratelimit.Statement, sinceSent time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	return g.core.ObserveRateLimit(s, now.Add(-sinceSent), now)
}

// MinInterval returns the time between two requests of one connected entry, so that
// all of them together keep to the rate limit of the backend server. It is zero
// without a limit.
func (g *Gate) MinInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.requestInterval() * time.Duration(max(1, len(g.conns)))
}
