// Package dispatch runs callers' requests at an entry: it queues them, claims
// the keys of non-repeatable requests, sends attempts to agents, and gives each
// caller exactly one final response.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/auburnbend/auburnbend/entry/caller"
	"github.com/auburnbend/auburnbend/lib/attempt"
	"github.com/auburnbend/auburnbend/lib/config"
	"github.com/auburnbend/auburnbend/lib/model"
)

// Dispatcher implements caller.Handler. It is safe for concurrent use.
type Dispatcher struct {
	cfg       Config
	admission *admission
	budget    *attempt.Budget
	// outcomePending counts the requests whose callers have their final response
	// while an attempt may still be running.
	outcomePending atomic.Int64
}

var _ caller.Handler = (*Dispatcher)(nil)

// New returns a Dispatcher. Run processes its queues.
func New(cfg Config) *Dispatcher {
	cfg = cfg.applyDefaults()
	return &Dispatcher{
		cfg:       cfg,
		admission: newAdmission(cfg.Queue, cfg.Clock, cfg.Log, cfg.Fleet),
		budget:    attempt.NewBudget(cfg.Budget),
	}
}

// Run processes the queues, retries unconfirmed claim updates and deletes
// expired claims until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.maintainClaims(ctx)
	d.admission.run(ctx, d.cfg.Fleet.CapacityChanged(), d.cfg.QueuePollInterval)
}

// drainPollInterval is the time between two checks of Drain.
const drainPollInterval = 50 * time.Millisecond

// Drain waits until no attempt is running whose outcome a claim needs and until
// the store has confirmed all claim updates. It returns the error of ctx if ctx
// ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	for d.outcomePending.Load() > 0 || d.cfg.Ledger.Pending() > 0 {
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ApplyConfig applies a configuration that has come into force.
func (d *Dispatcher) ApplyConfig(c *config.Config) {
	d.admission.setTenants(c.Tenants)
	d.admission.setClasses(c.Classes)
	if c.Deployment.ClaimRetention > 0 {
		d.cfg.Ledger.SetRetention(c.Deployment.ClaimRetention)
	}
	for _, t := range c.Tenants {
		d.budget.SetShare(t.Name, t.RetryShare)
	}
}

// Handle runs one request until its final response is sent.
func (d *Dispatcher) Handle(ctx context.Context, r *caller.Request, w caller.ResponseWriter) {
	run := newRun(d, r, w)
	if !run.claim(ctx) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	run.serve(ctx)
}

func (d *Dispatcher) endResponse(r *caller.Request, w caller.ResponseWriter, result caller.Result) {
	d.cfg.Metrics.ObserveTotal(r.Tenant.Name, r.Class.Name, d.cfg.Clock.Now().Sub(r.Received), result.Outcome, result.Reason)
	w.End(result)
}

// firstTokenTarget returns the first-token target of a class.
func firstTokenTarget(c config.Class) time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return defaultFirstToken
}

// servingWeights returns the weights that may serve a request. It is empty if
// the configuration declares none for the service.
func servingWeights(c *config.Config, s config.Service) []model.Weights {
	if s.Kind == config.KindPlain {
		return []model.Weights{{}}
	}
	return c.CandidateWeights(s)
}
