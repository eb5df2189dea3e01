package admit

import (
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Next offers the request whose turn it is to place, which tries to start it
// and reports whether it did. A request that place accepts leaves the queue and
// is returned. When place refuses, the first requests of up to
// Config.MaxTries - 1 other tenants are offered in their turn, so that a
// request which only few backend servers may run does not hold up the others.
// Requests that are too late are not offered; Expire removes them.
//
// place must not call the Queue.
func (q *Queue) Next(now time.Time, place func(Request) bool) (Request, bool) {
	q.skip = q.skip[:0]
	for range q.cfg.MaxTries {
		t, c, it := q.turn(now)
		if it == nil {
			break
		}
		if it.Offered.IsZero() {
			it.Offered = now
		}
		if !place(it.Request) {
			q.skip = append(q.skip, t)
			continue
		}
		q.served.advance(now, q.cfg.RateWindow)
		q.served.took(it.Tokens)
		t.virtual = max(t.virtual, c.serve(t.virtual, it.Tokens))
		q.virtual = max(q.virtual, t.serve(q.virtual, it.Tokens))
		q.remove(it)
		return it.Request, true
	}
	return Request{}, false
}

// turn returns the tenant, class and item whose turn it is.
func (q *Queue) turn(now time.Time) (*tenantQueue, *classQueue, *item) {
	var bestTenant *tenantQueue
	var bestClass *classQueue
	var bestItem *item
	var bestTag float64
	for _, t := range q.order {
		if t.queued == 0 || slices.Contains(q.skip, t) {
			continue
		}
		c, it := t.next()
		if it == nil || (!it.StartBy.IsZero() && now.After(it.StartBy)) {
			continue
		}
		tag := t.start(q.virtual) - q.cfg.PriorityLead*float64(c.priority)
		if bestTenant == nil || tag < bestTag {
			bestTenant, bestClass, bestItem, bestTag = t, c, it, tag
		}
	}
	return bestTenant, bestClass, bestItem
}

// Settle corrects the charge of a request that has ended: the estimate was
// charged when it started. A tenant whose answers are longer than estimated
// pays for the difference.
func (q *Queue) Settle(name model.Tenant, estimated, actual int) {
	if t, ok := q.tenants[name]; ok {
		t.finish += float64(actual-estimated) / t.weight
	}
}

// expectedWait estimates how long a new request of a tenant waits. Under fair
// queueing it is served after what waits of its own tenant and, of each other
// tenant, at most the same amount in proportion to the shares.
func (q *Queue) expectedWait(t *tenantQueue, r Request) time.Duration {
	perSecond, ok := q.served.perSecond()
	if !ok {
		return 0
	}
	debt := max(0, t.finish-q.virtual) * t.weight
	own := debt + float64(t.tokens)
	tokens := float64(t.tokens)
	for _, other := range q.order {
		if other != t && other.queued > 0 {
			tokens += min(float64(other.tokens), (own+float64(r.Tokens))*other.weight/t.weight)
		}
	}
	return time.Duration(tokens / perSecond * float64(time.Second))
}
