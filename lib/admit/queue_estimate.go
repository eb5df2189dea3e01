package admit

import (
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// ExpectedWait estimates the queueing time of a new request of a tenant.
func (q *Queue) ExpectedWait(now time.Time, name model.Tenant) time.Duration {
	t := q.tenant(name)
	q.advance(now, t)
	return q.expectedWait(t)
}

// CountRefused accounts for a request that was refused before it was queued.
func (q *Queue) CountRefused(now time.Time, r Request) {
	q.tenant(r.Tenant).demand.addRefused(now, max(1, r.Tokens))
}
