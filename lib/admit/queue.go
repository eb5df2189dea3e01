// Package admit decides which request starts next and how many a backend server
// gets at once.
//
// Queue and Limiter are not safe for concurrent use; their owner is one
// goroutine or a mutex of the assembly. Times of successive calls must not go
// back.
package admit

import (
	"container/heap"
	"maps"
	"math"
	"time"

	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// Queue holds the requests that wait for one pool of backend servers.
//
// Tenants share the pool by start-time fair queueing over estimated tokens,
// weighted by their shares. While two tenants i and j both have requests
// waiting, the tokens W that they were given in any interval differ by at most
//
//	|Wi/Si - Wj/Sj| <= Li/Si + Lj/Sj + P + B + O
//
// where S is the share relative to the mean share (times Config.ExcessShare for a
// tenant of which more is refused than started), L the largest request in
// tokens, P the largest lead by priority (Config.PriorityLead times the
// difference of the priorities), B is Config.Burst and O Config.Overtake. Requests
// that are blocked do not count as waiting. So a tenant within its
// share waits for its own requests and a bounded number of tokens of others,
// however many requests another tenant sends. B favours the tenant that sent
// less before.
//
// Within a tenant, classes share in the same way with weights that grow by
// Config.PriorityRatio per priority, and requests of a class stay in order.
type Queue struct {
	cfg     Config
	limits  map[model.Tenant]TenantLimits
	tenants map[model.Tenant]*tenantQueue
	order   []*tenantQueue // in order of first arrival, for stable decisions
	byID    map[model.RequestID]*item
	starts  startHeap
	virtual float64
	// meanShare makes weights independent of the unit of the declared shares.
	meanShare float64
	served    rate
	skip      []*tenantQueue // reused by Next
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

// SetTenants declares the limits of all tenants. Tenants that are not declared
// have a share of 1 and the default bound. All tenants start equal after a
// change of the mean share, because tags before and after cannot be compared.
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
		q.virtual = 0
	}
	for _, t := range q.order {
		if changed {
			t.finish = 0
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

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Queued returns the number of waiting requests of a tenant.
func (q *Queue) Queued(name model.Tenant) int {
	if t, ok := q.tenants[name]; ok {
		return t.queued
	}
	return 0
}

// Enqueue takes a request into the queue, or returns why it is refused: a bound
// is reached, it would start too late, or its id is already waiting.
func (q *Queue) Enqueue(now time.Time, r Request) (Refusal, bool) {
	r.Tokens = max(1, r.Tokens)
	if _, ok := q.byID[r.ID]; ok {
		return Refusal{Request: r, Reason: outcome.ReasonDuplicate}, false
	}
	t := q.tenant(r.Tenant)
	q.advance(now, t)
	wait := q.expectedWait(t)
	if len(q.byID) >= q.cfg.MaxQueued || t.queued >= t.maxQueued {
		t.demand.refuse(now, r.Tokens)
		return Refusal{Request: r, Reason: outcome.ReasonQueueFull, RetryAfter: q.advice(wait)}, false
	}
	if !r.StartBy.IsZero() {
		if late := now.Add(wait).Sub(r.StartBy); late > 0 {
			t.demand.refuse(now, r.Tokens)
			return Refusal{Request: r, Reason: outcome.ReasonOverloaded, RetryAfter: q.advice(late)}, false
		}
	}
	priority := min(max(r.Priority, 0), q.cfg.MaxPriority)
	c := t.class(r.Class, priority, math.Pow(q.cfg.PriorityRatio, float64(priority)))
	it := &item{Request: r, class: c, arrived: now, heap: -1}
	c.add(it)
	t.queued++
	t.tokens += r.Tokens
	q.byID[r.ID] = it
	if !r.StartBy.IsZero() {
		heap.Push(&q.starts, it)
	}
	q.served.busy(now)
	t.served.busy(now)
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

// Cancel removes a waiting request. It returns false when the request does not
// wait.
func (q *Queue) Cancel(now time.Time, id model.RequestID) bool {
	it, ok := q.byID[id]
	if ok {
		q.advance(now, q.tenants[it.Tenant])
		q.remove(it)
	}
	return ok
}

// advance counts the time since the last call in the rates of service.
func (q *Queue) advance(now time.Time, t *tenantQueue) {
	q.served.advance(now, q.cfg.RateWindow)
	t.served.advance(now, q.cfg.RateWindow)
}

// remove takes an item out of all counts. Its class list drops it when it is
// first.
func (q *Queue) remove(it *item) {
	it.done = true
	it.class.waiting--
	delete(q.byID, it.ID)
	if it.heap >= 0 {
		heap.Remove(&q.starts, it.heap)
	}
	t := q.tenants[it.Tenant]
	t.queued--
	t.tokens -= it.Tokens
	if t.queued == 0 {
		t.served.idle()
	}
	if len(q.byID) == 0 {
		q.served.idle()
	}
}

// Expire removes the requests that can no longer start in time. The caller
// answers them at once. It is called when NextExpiry is reached and before Next.
func (q *Queue) Expire(now time.Time) []Refusal {
	var out []Refusal
	for len(q.starts) > 0 && now.After(q.starts[0].StartBy) {
		it := q.starts[0]
		t := q.tenants[it.Tenant]
		q.advance(now, t)
		wait := q.expectedWait(t)
		t.demand.refuse(now, it.Tokens)
		q.remove(it)
		out = append(out, Refusal{Request: it.Request, Reason: outcome.ReasonDeadline, RetryAfter: q.advice(wait)})
	}
	return out
}

// NextExpiry returns when the next waiting request becomes too late.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.starts) == 0 {
		return time.Time{}, false
	}
	return q.starts[0].StartBy, true
}

func (q *Queue) advice(d time.Duration) time.Duration {
	return min(max(d, q.cfg.MinRetryAfter), q.cfg.MaxRetryAfter)
}
