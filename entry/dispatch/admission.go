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
	"github.com/auburnbend/auburnbend/lib/eventlog"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/outcome"
)

// reserver reserves instances for requests. *fleet.Fleet implements it.
type reserver interface {
	Reserve(r *fleet.Requirements) (*fleet.Slot, error)
	WithdrawSuspect(fingerprint model.Fingerprint)
}

// admission holds the queues of an entry, one per pool. Lock order: its mutex
// is taken before that of the fleet, never the other way round.
type admission struct {
	cfg      admit.Config
	clock    clock.Clock
	log      *eventlog.Logger
	reserver reserver
	// wake tells run that a request was queued.
	wake chan struct{}

	mu         sync.Mutex
	queues     map[string]*admit.Queue
	waiters    map[model.RequestID]*waiter
	tenants    []config.Tenant
	estimators map[string]*admit.StartEstimator
	// gates holds the gate of each pool; they are used while ranks has at least two.
	gates map[string]*admit.Gate
	// ranks maps the priorities of the configured classes to ranks.
	ranks map[int]int
}

func newAdmission(cfg admit.Config, c clock.Clock, log *eventlog.Logger, r reserver) *admission {
	return &admission{
		cfg:        cfg,
		clock:      c,
		log:        log,
		reserver:   r,
		wake:       make(chan struct{}, 1),
		queues:     make(map[string]*admit.Queue),
		waiters:    make(map[model.RequestID]*waiter),
		estimators: make(map[string]*admit.StartEstimator),
		gates:      make(map[string]*admit.Gate),
	}
}

// run places queued requests when instances become available, until ctx ends.
// While requests are queued it also polls them every pollInterval, for requests
// that expire or stop waiting for a better instance. Otherwise the timer is
// stopped, which keeps an idle entry cheap.
func (a *admission) run(ctx context.Context, changed <-chan struct{}, pollInterval time.Duration) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-changed:
		case <-a.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		a.mu.Lock()
		waiting := len(a.waiters) > 0
		if waiting {
			a.placeAll()
		}
		a.mu.Unlock()
		if waiting {
			timer.Reset(pollInterval)
		} else {
			timer.Stop()
		}
	}
}

// setTenants applies the configured limits of the tenants to all queues.
func (a *admission) setTenants(tenants []config.Tenant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tenants = tenants
	for _, q := range a.queues {
		applyTenantLimits(q, tenants)
	}
}

func applyTenantLimits(q *admit.Queue, tenants []config.Tenant) {
	limits := make(map[model.Tenant]admit.TenantLimits, len(tenants))
	for _, t := range tenants {
		limits[t.Name] = admit.TenantLimits{Share: t.Share, MaxQueued: t.MaxQueued}
	}
	q.SetTenants(limits)
}

// startBy returns the latest dispatch time of a request that must meet the
// first-token target and the deadline.
func (a *admission) startBy(pool string, arrival time.Time, target time.Duration, deadline time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	by := a.estimator(pool).StartBy(arrival, target)
	if deadline.Before(by) {
		return deadline
	}
	return by
}

// beginBy returns the latest dispatch time of a request that must begin before its deadline.
func (a *admission) beginBy(pool string, arrival, deadline time.Time) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.estimator(pool).BeginBy(arrival, deadline)
}

// observeFirstFrame records the time from a dispatch to its first frame.
func (a *admission) observeFirstFrame(pool string, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.estimator(pool).Observe(d)
}

func (a *admission) estimator(pool string) *admit.StartEstimator {
	e := a.estimators[pool]
	if e == nil {
		e = &admit.StartEstimator{}
		a.estimators[pool] = e
	}
	return e
}

func (a *admission) queue(pool string) *admit.Queue {
	q := a.queues[pool]
	if q == nil {
		q = admit.New(a.cfg)
		applyTenantLimits(q, a.tenants)
		a.queues[pool] = q
	}
	return q
}

// wait queues a request until an instance is reserved for it, it is refused, or
// ctx ends.
func (a *admission) wait(ctx context.Context, w *waiter, r admit.Request) admissionResult {
	w.result = make(chan admissionResult, 1)
	a.mu.Lock()
	if refusal, ok := a.enqueue(w, r); !ok {
		a.mu.Unlock()
		return admissionResult{reason: refusal.Reason, retryAfter: refusal.RetryAfter}
	}
	a.waiters[w.id] = w
	a.placePool(w.pool)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case res := <-w.result:
		return res
	case <-ctx.Done():
		return a.cancel(w)
	}
}

// cancel removes a request from its queue. If the request was placed in the
// meantime, cancel returns the reserved slot, which remains valid.
func (a *admission) cancel(w *waiter) admissionResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case res := <-w.result:
		return res
	default:
	}
	a.queue(w.pool).Cancel(a.clock.Now(), w.id)
	delete(a.waiters, w.id)
	a.reserver.WithdrawSuspect(w.requirements.Fingerprint)
	return admissionResult{reason: outcome.ReasonCanceled}
}

// correctCharge replaces the estimated tokens of an ended request by the actual
// ones.
func (a *admission) correctCharge(pool string, tenant model.Tenant, estimated, actual int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue(pool).CorrectCharge(tenant, estimated, actual)
}

func (a *admission) placeAll() {
	for pool := range a.queues {
		a.placePool(pool)
	}
}

// placePool refuses expired requests and places others until no instance
// accepts one. The caller must hold a.mu.
func (a *admission) placePool(pool string) {
	q := a.queue(pool)
	now := a.clock.Now()
	for _, refusal := range q.Expire(now) {
		if w := a.waiters[refusal.Request.ID]; w != nil {
			a.recordRefused(pool, refusal.Request, now)
			a.reserver.WithdrawSuspect(w.requirements.Fingerprint)
			a.resolve(w, admissionResult{reason: refusal.Reason, retryAfter: refusal.RetryAfter})
		}
	}
	for {
		if _, ok := q.Next(now, a.place); !ok {
			return
		}
	}
}

// place tries to reserve an instance for a request. The caller must hold a.mu.
func (a *admission) place(r admit.Request) admit.Placement {
	w := a.waiters[r.ID]
	if w == nil {
		return admit.Placed
	}
	w.requirements.OfferedAt = r.OfferedAt
	slot, err := a.reserver.Reserve(&w.requirements)
	switch {
	case err == nil:
		a.resolve(w, admissionResult{slot: slot})
	case errors.Is(err, fleet.ErrQuarantined):
		a.resolve(w, admissionResult{reason: outcome.ReasonQuarantined})
	case errors.Is(err, fleet.ErrShouldWait):
		return admit.Deferred
	default:
		return admit.Blocked
	}
	return admit.Placed
}

func (a *admission) resolve(w *waiter, res admissionResult) {
	delete(a.waiters, w.id)
	w.result <- res
}
