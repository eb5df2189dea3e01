package placement

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
	"github.com/auburnbend/auburnbend/lib/ratelimit"
)

// ObserveLimit records what a response says about its server's rate limit, and
// reports whether that has changed. sent is when the request was sent.
func (p *Picker) ObserveLimit(key directory.Key, s ratelimit.Statement, sent, now time.Time) bool {
	return p.server(key).limit.Observe(s, sent, now)
}
