package replica

import (
	"context"
	"errors"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// next returns the newest fetched version whose turn has come, and whether any
// waits. An engine that serves nothing waits for no turn.
func (r *Replica) next(report *EngineState) (due *pendingVersion, waiting bool) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.pending) - 1; i >= 0; i-- {
		p := r.pending[i]
		if len(report.Weights) == 0 || !now.Before(p.turn) {
			return p, true
		}
	}
	return nil, len(r.pending) > 0
}

// order hands a version to the engine.
func (r *Replica) order(ctx context.Context, p *pendingVersion) {
	r.closed.Store(true)
	r.notifyObserved()
	// From the order on the engine itself tells that it is busy.
	defer r.closed.Store(false)
	r.awaitQueue(ctx)
	whole, err := p.holdings.stage(ctx)
	if err != nil {
		r.engineFailed(err)
		return
	}
	if !whole {
		r.drop(p)
		return
	}
	report := r.report.Load()
	if report == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	err = r.config.Engine.StartLoad(callCtx, p.model, p.version, report.OrdersAccepted)
	r.config.Log.Log(eventlog.LoadOrdered, "model", p.model, "version", p.version, "err", err)
	if err != nil && errors.Is(err, ErrOrderRejected) {
		return
	}
	// After a lost answer the engine may have accepted the order. If it has not,
	// its state asks for the order again.
	r.taken(p)
	r.observe(ctx)
}

// awaitQueue waits until the requests that the engine has taken have begun: the
// order rejects those that wait.
func (r *Replica) awaitQueue(ctx context.Context) {
	limit := r.config.Clock.Now().Add(queueLimit)
	for ctx.Err() == nil && r.config.Clock.Now().Before(limit) {
		wait(ctx, nil, closeBefore)
		r.observe(ctx)
		if report := r.report.Load(); report == nil || report.Queued == 0 {
			return
		}
	}
}

// taken takes note that a version is at the engine.
func (r *Replica) taken(p *pendingVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].version <= p.version {
		r.pending = r.pending[1:]
	}
	r.setStaged(p.holdings)
	p.holdings.release()
}

// drop forgets a version with pieces that have turned bad; what is missing is
// fetched again.
func (r *Replica) drop(p *pendingVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range r.pending {
		if q == p {
			r.pending = append(r.pending[:i:i], r.pending[i+1:]...)
			return
		}
	}
}
