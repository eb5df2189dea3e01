package replica

import (
	"context"
	"errors"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// nextLoad returns the newest fetched version that is due to be loaded, or nil,
// and whether any version is pending. For an engine that serves nothing all
// versions are due.
func (r *Replica) nextLoad(state *EngineState) (due *pendingVersion, pending bool) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.pending) - 1; i >= 0; i-- {
		p := r.pending[i]
		if len(state.Weights) == 0 || !now.Before(p.loadAfter) {
			return p, true
		}
	}
	return nil, len(r.pending) > 0
}

// load stages a version at the engine and orders the engine to load it.
func (r *Replica) load(ctx context.Context, p *pendingVersion) {
	r.draining.Store(true)
	r.wakeReporter()
	// Once it has accepted the order, the engine itself reports that it is busy.
	defer r.draining.Store(false)
	r.awaitEmptyQueue(ctx)
	stagingStarted := r.config.Clock.Now()
	complete, err := p.pieces.stage(ctx)
	if err != nil {
		r.logEngineError(err)
		return
	}
	if !complete {
		r.discard(p)
		return
	}
	state := r.engineState.Load()
	if state == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	sent := r.config.Clock.Now()
	err = r.config.Engine.StartLoad(callCtx, p.model, p.version, state.OrdersAccepted)
	r.config.Log.Log(eventlog.LoadOrdered, "model", p.model, "version", p.version, "orders", state.OrdersAccepted,
		"staging_ms", sent.Sub(stagingStarted).Milliseconds(), "response_ms", r.config.Clock.Now().Sub(sent).Milliseconds(), "err", err)
	if err != nil && errors.Is(err, ErrOrderRejected) {
		return
	}
	// Without a response the engine may or may not have accepted the order. If it
	// has not, its state leads to another order.
	r.markOrdered(p)
	r.readEngineState(ctx)
}

// awaitEmptyQueue waits until the engine has started its queued requests, which
// the order would reject.
func (r *Replica) awaitEmptyQueue(ctx context.Context) {
	deadline := r.config.Clock.Now().Add(maxQueueWait)
	for ctx.Err() == nil && r.config.Clock.Now().Before(deadline) {
		wait(ctx, nil, queuePollInterval)
		r.readEngineState(ctx)
		if state := r.engineState.Load(); state == nil || state.Queued == 0 {
			return
		}
	}
}

// markOrdered records that the engine holds the pieces of a version and has been
// ordered to load them.
func (r *Replica) markOrdered(p *pendingVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].version <= p.version {
		r.pending = r.pending[1:]
	}
	r.setStaged(p.pieces)
	p.pieces.dropFromMemory()
}

// discard removes a pending version that has corrupt pieces, which are then
// fetched again.
func (r *Replica) discard(p *pendingVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, q := range r.pending {
		if q == p {
			r.pending = append(r.pending[:i:i], r.pending[i+1:]...)
			return
		}
	}
}
