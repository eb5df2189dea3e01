package admit

import (
	"math"
	"slices"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
)

// Next selects the next request and calls place to start it. If place returns
// Placed, the request is removed from the queue and returned. Otherwise Next
// tries the first requests of up to Config.MaxCandidates - 1 other tenants in
// fair-queueing order: a Deferred request is overtaken by a bounded amount of
// service only, and a Blocked one does not hold up other tenants. Requests past
// their StartBy are skipped; Expire removes them.
//
// place must not call methods of the Queue.
func (q *Queue) Next(now time.Time, place func(Request) Placement) (Request, bool) {
	q.skipped = q.skipped[:0]
	last := math.Inf(1)
	for range q.cfg.MaxCandidates {
		next, ok := q.nextCandidate(now)
		if !ok || next.tag > last {
			break
		}
		it := next.item
		if it.OfferedAt.IsZero() {
			it.OfferedAt = now
		}
		if next.tenant.underShare(q) {
			it.OfferedAt = it.arrivedAt
		}
		switch place(it.Request) {
		case Placed:
			q.charge(now, next)
			q.remove(it)
			return it.Request, true
		case Deferred:
			last = min(last, next.tag+q.cfg.MaxOvertake)
		case Blocked:
		}
		q.skipped = append(q.skipped, next.tenant)
	}
	return Request{}, false
}

// candidate is the first request of a tenant with its scheduling tag.
type candidate struct {
	tenant *tenantQueue
	class  *classQueue
	item   *item
	tag    float64
}

// nextCandidate returns the request with the smallest tag among the tenants
// that were not skipped.
func (q *Queue) nextCandidate(now time.Time) (best candidate, ok bool) {
	for _, t := range q.order {
		if t.queued == 0 || slices.Contains(q.skipped, t) {
			continue
		}
		c, it := t.nextItem()
		if it == nil || (!it.StartBy.IsZero() && now.After(it.StartBy)) {
			continue
		}
		tag := t.startTag(q.virtualTime, q.cfg.Burst) - q.cfg.PriorityLead*float64(c.priority)
		if !ok || tag < best.tag {
			best, ok = candidate{t, c, it, tag}, true
		}
	}
	return best, ok
}

// underShare reports whether the tenant is clearly below its share: by more
// than the service that Config.MaxOvertake allows ahead of a deferred request.
func (t *tenantQueue) underShare(q *Queue) bool {
	return t.finishTag <= q.virtualTime-q.cfg.MaxOvertake
}

// charge accounts for a started request.
func (q *Queue) charge(now time.Time, next candidate) {
	tokens := next.item.Tokens
	t := next.tenant
	q.advance(now, t)
	q.serviceRate.addTokens(tokens)
	t.serviceRate.addTokens(tokens)
	t.demand.addStarted(now, tokens)
	cost := float64(tokens)
	t.virtualTime = max(t.virtualTime, next.class.charge(t.virtualTime, 0, cost))
	if t.demand.overloading() {
		cost /= q.cfg.ExcessShare
	}
	q.virtualTime = max(q.virtualTime, t.charge(q.virtualTime, q.cfg.Burst, cost))
}

// CorrectCharge adjusts the account of a tenant when a request has ended,
// because the estimated tokens were charged at its start. A tenant whose
// answers are longer than estimated pays the difference.
func (q *Queue) CorrectCharge(name model.Tenant, estimated, actual int) {
	if t, ok := q.tenants[name]; ok {
		t.finishTag += float64(actual-estimated) / t.weight
	}
}

// expectedWait estimates the queueing time of a new request: the time until all
// requests with smaller start tags are served. For a tenant over its share it
// is at least the time that follows from the tenant's own service rate.
func (q *Queue) expectedWait(t *tenantQueue) time.Duration {
	perSecond, ok := q.serviceRate.perSecond()
	if !ok {
		return 0
	}
	tokens := float64(t.queuedTokens)
	tag := t.startTag(q.virtualTime, q.cfg.Burst) + tokens/t.weight
	for _, other := range q.order {
		if other != t && other.queued > 0 {
			ahead := (tag - other.startTag(q.virtualTime, q.cfg.Burst)) * other.weight
			tokens += min(float64(other.queuedTokens), max(0, ahead))
		}
	}
	seconds := tokens / perSecond
	// Later requests of other tenants also go ahead of a tenant over its share;
	// its own service rate accounts for them. For a tenant clearly under its
	// share that rate is based on too few requests.
	if own, ok := t.serviceRate.perSecond(); ok && !t.underShare(q) {
		seconds = max(seconds, float64(t.queuedTokens)/own)
	}
	return time.Duration(seconds * float64(time.Second))
}
