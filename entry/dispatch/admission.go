package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnbend/auburnbend/entry/fleet"
	"github.com/auburnbend/auburnbend/lib/admit"
	"github.com/auburnbend/auburnbend/lib/clock"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// placer reserves instances; *fleet.Fleet is one.
type placer interface {
	Reserve(w *fleet.Requirements) (*fleet.Slot, error)
	WithdrawSuspect(finger model.Fingerprint)
}

// admission holds the queues of an entry, one for each pool. Its mutex is taken
// before that of the fleet, never the other way round.
type admission struct {
	cfg    admit.Config
	clock  clock.Clock
	placer placer
	// queued wakes run when a request starts to wait.
	queued chan struct{}

	mu      sync.Mutex
	queues  map[string]*admit.Queue
	waiters map[model.RequestID]*waiter
	tenants []config.Tenant
	starts  map[string]*admit.StartEstimator
}

func newAdmission(cfg admit.Config, c clock.Clock, p placer) *admission {
	return &admission{
		cfg:     cfg,
		clock:   c,
		placer:  p,
		queued:  make(chan struct{}, 1),
		queues:  make(map[string]*admit.Queue),
		waiters: make(map[model.RequestID]*waiter),
		starts:  make(map[string]*admit.StartEstimator),
	}
}

// run places waiting requests when instances become free, until ctx ends. While
// requests wait it also looks at every tick, for those that are too late or held
// back; without any it sleeps, which keeps an idle entry cheap.
func (a *admission) run(ctx context.Context, changed <-chan struct{}, tick time.Duration) {
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-a.queued:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		a.mu.Lock()
		waiting := len(a.waiters) > 0
		if waiting {
			a.pump()
		}
		a.mu.Unlock()
		if waiting {
			timer.Reset(tick)
		} else {
			timer.Stop()
		}
	}
}

// setTenants takes the declared limits of tenants.
func (a *admission) setTenants(tenants []config.Tenant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tenants = tenants
	for _, q := range a.queues {
		declare(q, tenants)
	}
}

func declare(q *admit.Queue, tenants []config.Tenant) {
	limits := make(map[model.Tenant]admit.TenantLimits, len(tenants))
	for _, t := range tenants {
		limits[t.Name] = admit.TenantLimits{Share: t.Share, MaxQueued: t.MaxQueued}
	}
	q.SetTenants(limits)
}

// startBy returns when a request must be dispatched to be in time.
func (a *admission) startBy(pool string, arrival time.Time, target time.Duration, deadline time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	by := a.estimator(pool).StartBy(arrival, target)
	if deadline.Before(by) {
		return deadline
	}
	return by
}

// observeStart takes the time from a dispatch to the first frame.
func (a *admission) observeStart(pool string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.estimator(pool).Observe(d)
}

func (a *admission) estimator(pool string) *admit.StartEstimator {
	e := a.starts[pool]
	if e == nil {
		e = &admit.StartEstimator{}
		a.starts[pool] = e
	}
	return e
}

func (a *admission) queue(pool string) *admit.Queue {
	q := a.queues[pool]
	if q == nil {
		q = admit.New(a.cfg)
		declare(q, a.tenants)
		a.queues[pool] = q
	}
	return q
}

// wait queues a request until an instance takes it, it is shed, or ctx ends.
func (a *admission) wait(ctx context.Context, w *waiter, r admit.Request) grant {
	w.granted = make(chan grant, 1)
	a.mu.Lock()
	if shed, ok := a.queue(w.pool).Enqueue(a.clock.Now(), r); !ok {
		a.mu.Unlock()
		return grant{reason: shed.Reason, retryAfter: shed.RetryAfter}
	}
	a.waiters[w.id] = w
	a.pumpPool(w.pool)
	a.mu.Unlock()
	select {
	case a.queued <- struct{}{}:
	default:
	}
	select {
	case g := <-w.granted:
		return g
	case <-ctx.Done():
		return a.cancel(w)
	}
}

// cancel takes a request out of its queue. It may have been placed meanwhile;
// then the place stands.
func (a *admission) cancel(w *waiter) grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case g := <-w.granted:
		return g
	default:
	}
	a.queue(w.pool).Cancel(a.clock.Now(), w.id)
	delete(a.waiters, w.id)
	a.placer.WithdrawSuspect(w.requirements.Fingerprint)
	return grant{reason: outcome.ReasonCanceled}
}

// settle corrects the charge of a request that has ended.
func (a *admission) settle(pool string, tenant model.Tenant, estimated, actual int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue(pool).CorrectCharge(tenant, estimated, actual)
}

func (a *admission) pump() {
	for pool := range a.queues {
		a.pumpPool(pool)
	}
}

// pumpPool answers requests that are too late and places others while any
// instance takes one. The caller holds the mutex.
func (a *admission) pumpPool(pool string) {
	q := a.queue(pool)
	now := a.clock.Now()
	for _, shed := range q.Expire(now) {
		if w := a.waiters[shed.Request.ID]; w != nil {
			a.placer.WithdrawSuspect(w.requirements.Fingerprint)
			a.grant(w, grant{reason: shed.Reason, retryAfter: shed.RetryAfter})
		}
	}
	for {
		if _, ok := q.Next(now, a.place); !ok {
			return
		}
	}
}

// place tries to start one request.
func (a *admission) place(r admit.Request) admit.Placement {
	w := a.waiters[r.ID]
	if w == nil {
		return admit.Placed
	}
	w.requirements.OfferedAt = r.OfferedAt
	slot, err := a.placer.Reserve(&w.requirements)
	switch {
	case err == nil:
		a.grant(w, grant{slot: slot})
	case errors.Is(err, fleet.ErrQuarantined):
		a.grant(w, grant{reason: outcome.ReasonQuarantined})
	case errors.Is(err, fleet.ErrShouldWait):
		return admit.Deferred
	default:
		return admit.Blocked
	}
	return admit.Placed
}

func (a *admission) grant(w *waiter, g grant) {
	delete(a.waiters, w.id)
	w.granted <- g
}
