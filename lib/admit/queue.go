// Package admit schedules requests: Queue decides which request starts next and
// Limiter how many requests a backend server gets concurrently.
//
// Queue and Limiter are not safe for concurrent use; callers confine them to
// one goroutine or guard them with a mutex. The times passed to successive
// calls must not decrease.
package admit

import (
	"container/heap"
	"maps"
	"math"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Queue holds the waiting requests for one pool of backend servers.
//
// Tenants share the pool by start-time fair queueing over estimated tokens,
// weighted by their shares. While two tenants i and j both have requests
// queued, the tokens W served to them in any interval satisfy
//
//	|Wi/Si - Wj/Sj| <= Li/Si + Lj/Sj + P + B + O
//
// where S is the share relative to the mean share (times Config.ExcessShare for
// a tenant with more tokens refused than started), L the largest request in
// tokens, P the largest priority lead (Config.PriorityLead times the difference
// of the priorities), B is Config.Burst and O is Config.MaxOvertake. Blocked
// requests do not count as queued. A tenant within its share therefore waits
// for its own requests and for a bounded number of tokens of others, however
// many requests another tenant sends. The term B favours the tenant that used
// less of its share before.
//
// Within a tenant, classes share in the same way with weights that grow by
// Config.PriorityRatio per priority. Requests of one class are served in FIFO
// order.
type Queue struct {
	cfg         Config
	limits      map[model.Tenant]TenantLimits
	tenants     map[model.Tenant]*tenantQueue
	order       []*tenantQueue // in order of first arrival, for deterministic scheduling
	byID        map[model.RequestID]*item
	byStartBy   startHeap
	virtualTime float64
	// meanShare normalises weights, so that they do not depend on the scale of
	// the declared shares.
	meanShare   float64
	serviceRate rate
	skipped     []*tenantQueue // reused by Next
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg.applyDefaults()
	return &Queue{
		cfg:     cfg,
		limits:  make(map[model.Tenant]TenantLimits),
		tenants: make(map[model.Tenant]*tenantQueue),
		byID:    make(map[model.RequestID]*item),

		meanShare: 1,
	}
}

// SetTenants replaces the limits of all tenants. Tenants that are not listed
// have a share of 1 and the default queue limit. If the mean share changes, the
// accounts of all tenants restart from zero, because tags from before and after
// the change are not comparable.
func (q *Queue) SetTenants(limits map[model.Tenant]TenantLimits) {
	q.limits = maps.Clone(limits)
	sum := 0
	for _, l := range limits {
		sum += max(1, l.Share)
	}
	mean := float64(max(1, sum)) / float64(max(1, len(limits)))
	changed := mean != q.meanShare
	q.meanShare = mean
	if changed {
		q.virtualTime = 0
	}
	for _, t := range q.order {
		if changed {
			t.finishTag = 0
		}
		q.applyLimits(t)
	}
}

func (q *Queue) applyLimits(t *tenantQueue) {
	limits := q.limits[t.name]
	t.weight = float64(max(1, limits.Share)) / q.meanShare
	t.maxQueued = limits.MaxQueued
	if t.maxQueued <= 0 {
		t.maxQueued = q.cfg.TenantMaxQueued
	}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.byID) }

// Queued returns the number of queued requests of a tenant.
func (q *Queue) Queued(name model.Tenant) int {
	if t, ok := q.tenants[name]; ok {
		return t.queued
	}
	return 0
}

// Enqueue adds a request to the queue. It returns false and the refusal if a
// queue limit is reached, the request would start too late, or its ID is
// already queued.
func (q *Queue) Enqueue(now time.Time, r Request) (Refusal, bool) {
	return q.EnqueueExpecting(now, r, q.ExpectedWait(now, r.Tenant))
}

// EnqueueExpecting is Enqueue with the result of ExpectedWait for the tenant at the same time,
// which takes time in proportion to the number of tenants.
func (q *Queue) EnqueueExpecting(now time.Time, r Request, wait time.Duration) (Refusal, bool) {
	r.Tokens = max(1, r.Tokens)
	if _, ok := q.byID[r.ID]; ok {
		return Refusal{Request: r, Reason: outcome.ReasonDuplicate}, false
	}
	t := q.tenant(r.Tenant)
	q.advance(now, t)
	if len(q.byID) >= q.cfg.MaxQueued || t.queued >= t.maxQueued {
		t.demand.addRefused(now, r.Tokens)
		return Refusal{Request: r, Reason: outcome.ReasonQueueFull, RetryAfter: q.retryAfter(wait)}, false
	}
	if !r.StartBy.IsZero() {
		if late := now.Add(wait).Sub(r.StartBy); late > 0 {
			t.demand.addRefused(now, r.Tokens)
			return Refusal{Request: r, Reason: outcome.ReasonOverloaded, RetryAfter: q.retryAfter(late)}, false
		}
	}
	priority := min(max(r.Priority, 0), q.cfg.MaxPriority)
	c := t.class(r.Class, priority, math.Pow(q.cfg.PriorityRatio, float64(priority)))
	it := &item{Request: r, class: c, arrivedAt: now, heapIndex: -1}
	c.add(it)
	t.queued++
	t.queuedTokens += r.Tokens
	q.byID[r.ID] = it
	if !r.StartBy.IsZero() {
		heap.Push(&q.byStartBy, it)
	}
	q.serviceRate.startBusy(now)
	t.serviceRate.startBusy(now)
	return Refusal{}, true
}

func (q *Queue) tenant(name model.Tenant) *tenantQueue {
	t, ok := q.tenants[name]
	if !ok {
		t = &tenantQueue{name: name}
		q.applyLimits(t)
		q.tenants[name] = t
		q.order = append(q.order, t)
	}
	return t
}

// Cancel removes a queued request. It returns false if the request is not
// queued.
func (q *Queue) Cancel(now time.Time, id model.RequestID) bool {
	it, ok := q.byID[id]
	if ok {
		q.advance(now, q.tenants[it.Tenant])
		q.remove(it)
	}
	return ok
}

// advance updates the service rates of the queue and the tenant to now.
func (q *Queue) advance(now time.Time, t *tenantQueue) {
	q.serviceRate.advance(now, q.cfg.RateWindow)
	t.serviceRate.advance(now, q.cfg.RateWindow)
}

// remove removes an item from the heap and all counters. The list of its class
// drops it once it is at the head.
func (q *Queue) remove(it *item) {
	it.done = true
	it.class.queued--
	delete(q.byID, it.ID)
	if it.heapIndex >= 0 {
		heap.Remove(&q.byStartBy, it.heapIndex)
	}
	t := q.tenants[it.Tenant]
	t.queued--
	t.queuedTokens -= it.Tokens
	if t.queued == 0 {
		t.serviceRate.stopBusy()
	}
	if len(q.byID) == 0 {
		q.serviceRate.stopBusy()
	}
}

// Expire removes and returns the requests that can no longer start in time.
// Callers answer them immediately. Call it when the time returned by NextExpiry
// is reached and before Next.
func (q *Queue) Expire(now time.Time) []Refusal {
	var out []Refusal
	for len(q.byStartBy) > 0 && now.After(q.byStartBy[0].StartBy) {
		it := q.byStartBy[0]
		t := q.tenants[it.Tenant]
		q.advance(now, t)
		wait := q.expectedWait(t)
		t.demand.addRefused(now, it.Tokens)
		q.remove(it)
		out = append(out, Refusal{Request: it.Request, Reason: outcome.ReasonDeadline, RetryAfter: q.retryAfter(wait)})
	}
	return out
}

// NextExpiry returns the earliest StartBy of the queued requests, or false if
// there is none.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.byStartBy) == 0 {
		return time.Time{}, false
	}
	return q.byStartBy[0].StartBy, true
}

func (q *Queue) retryAfter(d time.Duration) time.Duration {
	return min(max(d, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter)
}
