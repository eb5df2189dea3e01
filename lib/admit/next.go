package admit

import (
	"math"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Next offers the request whose turn it is to place, which tries to start it. A
// request that place starts leaves the queue and is returned. Otherwise the
// first requests of up to Config.MaxTries - 1 other tenants are offered in their
// turn: those that wait may be overtaken by a bounded amount of service, and
// those that are blocked do not hold up the others. Requests that are too late
// are not offered; Expire removes them.
//
// place must not call the Queue.
func (q *Queue) Next(now time.Time, place func(Request) Placement) (Request, bool) {
	q.skip = q.skip[:0]
	last := math.Inf(1)
	for range q.cfg.MaxCandidates {
		turn, ok := q.turn(now)
		if !ok || turn.tag > last {
			break
		}
		it := turn.item
		if it.OfferedAt.IsZero() {
			it.OfferedAt = now
		}
		if turn.tenant.under(q) {
			it.OfferedAt = it.arrived
		}
		switch place(it.Request) {
		case Placed:
			q.charge(now, turn)
			q.remove(it)
			return it.Request, true
		case Deferred:
			last = min(last, turn.tag+q.cfg.MaxOvertake)
		case Blocked:
		}
		q.skip = append(q.skip, turn.tenant)
	}
	return Request{}, false
}

// turn is the first request of a tenant with what decides on its turn.
type turn struct {
	tenant *tenantQueue
	class  *classQueue
	item   *item
	tag    float64
}

// turn returns the request whose turn it is among the tenants not skipped.
func (q *Queue) turn(now time.Time) (best turn, ok bool) {
	for _, t := range q.order {
		if t.queued == 0 || slices.Contains(q.skip, t) {
			continue
		}
		c, it := t.next()
		if it == nil || (!it.StartBy.IsZero() && now.After(it.StartBy)) {
			continue
		}
		tag := t.start(q.virtual, q.cfg.Burst) - q.cfg.PriorityLead*float64(c.priority)
		if !ok || tag < best.tag {
			best, ok = turn{t, c, it, tag}, true
		}
	}
	return best, ok
}

// under reports whether a tenant is clearly under its share: it has more room
// than requests that wait may be overtaken by.
func (t *tenantQueue) under(q *Queue) bool { return t.finish <= q.virtual-q.cfg.MaxOvertake }

// charge accounts for a request that was started.
func (q *Queue) charge(now time.Time, next turn) {
	tokens := next.item.Tokens
	t := next.tenant
	q.advance(now, t)
	q.served.took(tokens)
	t.served.took(tokens)
	t.demand.start(now, tokens)
	cost := float64(tokens)
	t.virtual = max(t.virtual, next.class.serve(t.virtual, 0, cost))
	if t.demand.excessive() {
		cost /= q.cfg.ExcessShare
	}
	q.virtual = max(q.virtual, t.serve(q.virtual, q.cfg.Burst, cost))
}

// CorrectCharge corrects the charge of a request that has ended: the estimate was
// charged when it started. A tenant whose answers are longer than estimated
// pays for the difference.
func (q *Queue) CorrectCharge(name model.Tenant, estimated, actual int) {
	if t, ok := q.tenants[name]; ok {
		t.finish += float64(actual-estimated) / t.weight
	}
}

// expectedWait estimates how long a new request of a tenant waits: until all is
// served that has a smaller start tag. For a tenant over its share it is at least
// as long as the tenant's own rate of service tells.
func (q *Queue) expectedWait(t *tenantQueue) time.Duration {
	perSecond, ok := q.served.perSecond()
	if !ok {
		return 0
	}
	tokens := float64(t.tokens)
	tag := t.start(q.virtual, q.cfg.Burst) + tokens/t.weight
	for _, other := range q.order {
		if other != t && other.queued > 0 {
			ahead := (tag - other.start(q.virtual, q.cfg.Burst)) * other.weight
			tokens += min(float64(other.tokens), max(0, ahead))
		}
	}
	seconds := tokens / perSecond
	// Requests of others that arrive later also go ahead of a tenant that is
	// over its share, and its own rate of service includes them. For a tenant
	// clearly under its share the rate of its few requests would say too little.
	if own, ok := t.served.perSecond(); ok && !t.under(q) {
		seconds = max(seconds, float64(t.tokens)/own)
	}
	return time.Duration(seconds * float64(time.Second))
}
