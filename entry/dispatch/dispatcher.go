// Package dispatch runs callers' requests at an entry: it queues them, claims
// keys of non-repeatable ones, sends attempts to agents, and gives each caller
// one final answer that is true.
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
	// settling holds requests whose callers have their answers while an attempt
	// may still run.
	settling atomic.Int64
}

var _ caller.Handler = (*Dispatcher)(nil)

// New returns a dispatcher; Run starts its queues.
func New(cfg Config) *Dispatcher {
	cfg = cfg.applyDefaults()
	return &Dispatcher{
		cfg:       cfg,
		admission: newAdmission(cfg.Queue, cfg.Clock, cfg.Fleet),
		budget:    attempt.NewBudget(cfg.Budget),
	}
}

// Run works on queues and unconfirmed claims until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	go d.sweepClaims(ctx)
	d.admission.run(ctx, d.cfg.Fleet.CapacityChanged(), d.cfg.QueuePollInterval)
}

// drainPoll is the time between two looks at what a drain waits for.
const drainPoll = 50 * time.Millisecond

// Drain waits until no attempt runs whose fate a claim needs, and until the store
// has taken all claim updates. It returns an error when ctx ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	for d.settling.Load() > 0 || d.cfg.Ledger.Pending() > 0 {
		select {
		case <-time.After(drainPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ApplyConfig takes a configuration that has come in force.
func (d *Dispatcher) ApplyConfig(c *config.Config) {
	d.admission.setTenants(c.Tenants)
	if c.Deployment.ClaimRetention > 0 {
		d.cfg.Ledger.SetRetention(c.Deployment.ClaimRetention)
	}
	for _, t := range c.Tenants {
		d.budget.SetShare(t.Name, t.RetryShare)
	}
}

// Handle runs one request to its final answer.
func (d *Dispatcher) Handle(ctx context.Context, r *caller.Request, a caller.ResponseWriter) {
	run := newRun(d, r, a)
	if !run.claim(ctx) {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	run.serve(ctx)
}

func (d *Dispatcher) end(r *caller.Request, a caller.ResponseWriter, result caller.Result) {
	d.cfg.Metrics.ObserveTotal(r.Tenant.Name, r.Class.Name, d.cfg.Clock.Now().Sub(r.Received), result.Outcome, result.Reason)
	a.End(result)
}

// firstTokenTarget returns the declared target of a class.
func firstTokenTarget(c config.Class) time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return defaultFirstToken
}

// routesOf returns the weights that may serve a request; it is empty when the
// configuration declares none.
func routesOf(c *config.Config, s config.Service) []model.Weights {
	if s.Kind == config.KindPlain {
		return []model.Weights{{}}
	}
	return c.CandidateWeights(s)
}
