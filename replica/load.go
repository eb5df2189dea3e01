package replica

import (
	"context"
	"errors"
	"time"

	"github.com/auburnbend/auburnbend/lib/eventlog"
)

// nextLoad returns the newest fetched version that is due to be loaded, or nil,
// and whether any version is pending. For an engine that serves nothing, as it holds no
// weights or none that are known to be intact, all versions are due, unless it is to
// serve a version that it is taking: engines load newer versions in turn.
func (r *Replica) nextLoad(state *EngineState) (due *pendingVersion, pending bool) {
	now := r.config.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.takenVersion(state)
	allDue := taken == nil && (len(state.Weights) == 0 || !r.trusts(state))
	for i := len(r.pending) - 1; i >= 0; i-- {
		p := r.pending[i]
		if allDue || p == taken || !now.Before(p.loadAfter) {
			return p, true
		}
	}
	return nil, len(r.pending) > 0
}

// takenVersion returns the pending version that the engine was ordered to load and that is
// still to be verified, or nil. It returns nil if the engine has to take layers of it
// again. The caller holds mu.
func (r *Replica) takenVersion(state *EngineState) *pendingVersion {
	if r.check == nil || r.trusts(state) {
		return nil
	}
	for _, p := range r.pending {
		if r.checkKey != p.checkKey(state) {
			continue
		}
		held := state.held(p.model, p.version, r.check.layers())
		if state.Busy && r.check.taking.Len() > 0 || held.Len() > 0 && r.check.suspectLayers(held) == 0 {
			return p
		}
	}
	return nil
}

// load advances the load of a version by one step. The engine doesn't verify anything,
// and pieces may become corrupt where they are staged. So the staged pieces are read
// back before each order, and once more after the engine has accepted it: only then it
// is known what the engine took. Until that, the engine gets no requests.
func (r *Replica) load(ctx context.Context, p *pendingVersion, state *EngineState) {
	deadline := r.stepDeadline()
	check := r.layerCheckFor(p, state)
	r.closeForEarlierOrder(state)
	held := state.held(p.model, p.version, check.layers())
	check.dropped(held)
	if check.unknownLayer(held) {
		r.verifyLoaded(ctx, p, state, check, held, deadline)
		return
	}
	target, needed := check.next(held)
	switch countKnown := check.countKnown || state.Layers == nil; {
	case needed:
	case !countKnown:
		// An engine that holds all layers of the model takes nothing by this order.
		target = LayerRange{To: check.layers()}
	case check.intact(held):
		r.finishLoad(p, state)
		return
	default:
		r.logUnrepairable(p, state, check)
		return
	}
	now := r.config.Clock.Now()
	if !held.includes(target) && r.delaysLoad(p, state) {
		return
	}
	if p.loadStarted.IsZero() {
		p.loadStarted = now
	}
	// Layers are given up before their pieces are written again: the corrupt ones show an
	// agent that starts meanwhile that the engine doesn't hold intact layers. For the same
	// reason no piece is written while an order may be accepted late.
	ready := held.includes(target)
	switch {
	case ready:
	case check.givesUpAll(target) || check.layers() > 1 && r.mayAcceptOrder(state):
		target, ready = r.prepareGuarded(ctx, p, state, check, held, target, deadline)
	default:
		ready = r.stageVerified(ctx, p, state, check, held, target, nil, deadline)
	}
	if !ready {
		return
	}
	r.order(ctx, p, check, state.stamp(), held, target)
}

// logUnrepairable logs once that the engine can't take its only layer again. Orders follow
// once it has restarted, a newer version is fetched or more layers are known.
func (r *Replica) logUnrepairable(p *pendingVersion, state *EngineState, check *layerCheck) {
	if !check.unrepairable {
		check.unrepairable = true
		r.config.Log.Log(eventlog.WeightsUnrepairable, "model", p.model, "version", p.version, "orders", state.OrdersAccepted)
	}
}

// stepDeadline returns a function that reports whether the time of a step has passed.
func (r *Replica) stepDeadline() func() bool {
	end := r.config.Clock.Now().Add(loadStepTime)
	return func() bool { return r.config.Clock.Now().After(end) }
}

// layerCheckFor returns what is known of the layers of a version that the engine holds.
// It starts anew for another version and after a restart of the engine. A configuration
// may change the number of layers.
func (r *Replica) layerCheckFor(p *pendingVersion, state *EngineState) *layerCheck {
	key := p.checkKey(state)
	layers := r.layers(state, key)
	switch {
	case r.check == nil || r.checkKey != key:
		r.check, r.checkKey = newLayerCheck(layers, len(p.pieces.manifest.Digests)), key
		r.check.maxOrders = state.OrdersAccepted
	case r.check.layers() != layers:
		r.check = r.check.withLayers(layers)
	}
	if r.declaredLayers() > 1 {
		r.check.countKnown = true
	}
	if r.check.maxOrders < state.OrdersAccepted {
		r.check.suspectAll()
		r.check.maxOrders = state.OrdersAccepted
	}
	return r.check
}

// checkKey identifies what a layerCheck is about.
type checkKey struct {
	model          string
	version        int
	startUnixMilli int64
}

func (p *pendingVersion) checkKey(state *EngineState) checkKey {
	return checkKey{model: p.model, version: p.version, startUnixMilli: state.StartUnixMilli}
}

// verifyLoaded verifies the layers that the engine has taken.
func (r *Replica) verifyLoaded(ctx context.Context, p *pendingVersion, state *EngineState, check *layerCheck, held LayerRange, deadline func() bool) {
	v, err := r.verify(ctx, p, state.stamp(), check.unknownPieces(held), deadline)
	if err != nil {
		r.logEngineError(err)
		return
	}
	r.wakeRun()
	if v == nil {
		return
	}
	// The pass counts only if the engine has accepted no order since it began.
	r.readEngineState(ctx)
	if now := r.engineState.Load(); now == nil || now.Busy || now.stamp() != v.stamp {
		return
	}
	p.verification = nil
	check.verified(held, v.intact)
	if suspect := check.suspectLayers(held); suspect > 0 {
		r.initial = nil
		r.stats.Reloads.Add(1)
		r.config.Log.Log(eventlog.WeightsCorrupt, "model", p.model, "version", p.version, "orders", state.OrdersAccepted, "layers", suspect)
	}
}

// verifyWhileBusy uses the time of a load to verify what the engine has taken.
func (r *Replica) verifyWhileBusy(ctx context.Context, p *pendingVersion, state *EngineState) {
	if p == nil {
		return
	}
	check := r.layerCheckFor(p, state)
	if _, err := r.verify(ctx, p, state.stamp(), check.unknownPieces(check.taking), r.stepDeadline()); err != nil {
		r.logEngineError(err)
	}
}

// order orders the engine to hold the layers of target if its state is still the one that
// stamp identifies. The pieces of layers that it doesn't hold yet have been verified in
// that state.
func (r *Replica) order(ctx context.Context, p *pendingVersion, check *layerCheck, stamp loadStamp, held, target LayerRange) {
	r.draining.Store(true)
	r.wakeReporter()
	// Once it has accepted the order, the engine gets no requests before it is verified.
	defer r.draining.Store(false)
	r.awaitEmptyQueue(ctx)
	state := r.engineState.Load()
	v := p.verification
	p.verification = nil
	sent := r.config.Clock.Now()
	if state == nil || state.Busy || state.stamp() != stamp || !held.includes(target) && (v.age(sent) > maxVerificationAge || r.mayBeUsed(p, &state.EngineState)) {
		return
	}
	layers := target
	if target.Len() == check.layers() {
		layers = LayerRange{}
	}
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	check.maxOrders = state.OrdersAccepted + 1
	r.orderSent = true
	err := r.config.Engine.StartLoad(callCtx, p.model, p.version, layers, state.OrdersAccepted)
	now := r.config.Clock.Now()
	r.config.Log.Log(eventlog.LoadOrdered, "model", p.model, "version", p.version, "layers_from", target.From, "layers_to", target.To,
		"orders", state.OrdersAccepted, "staging_ms", sent.Sub(p.loadStarted).Milliseconds(), "verified_ms", v.age(sent).Milliseconds(),
		"response_ms", now.Sub(sent).Milliseconds(), "err", err)
	p.loadStarted = time.Time{}
	switch {
	case err == nil:
		check.countKnown = check.countKnown || target.Len() == check.layers()
		r.openOrder.Store(nil)
		check.ordered(target, held.Intersect(target))
	case !errors.Is(err, ErrOrderRejected):
		// Without a response the engine may accept the order at any later time.
		r.openOrder.Store(&openOrder{stamp: state.stamp(), sent: true})
	}
	r.readEngineState(ctx)
}

// finishLoad records that the engine has loaded a version intact.
func (r *Replica) finishLoad(p *pendingVersion, state *EngineState) {
	stamp := state.stamp()
	r.trusted.Store(&stamp)
	r.config.Log.Log(eventlog.WeightsVerified, "model", p.model, "version", p.version, "orders", state.OrdersAccepted)
	r.wakeReporter()
	r.wakeRun()
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].version <= p.version {
		r.pending = r.pending[1:]
	}
	r.setStaged(p.pieces)
	p.pieces.dropFromMemory()
}

// trusts reports whether the weights that the engine holds are known to be intact.
func (r *Replica) trusts(state *EngineState) bool {
	stamp := r.trusted.Load()
	return stamp != nil && *stamp == state.stamp()
}

// awaitEmptyQueue waits until the engine has started its queued requests, which
// the order would reject. Entries send no requests to an engine without weights.
func (r *Replica) awaitEmptyQueue(ctx context.Context) {
	if state := r.engineState.Load(); state != nil && len(state.Weights) == 0 && state.Queued == 0 {
		return
	}
	deadline := r.config.Clock.Now().Add(maxQueueWait)
	for ctx.Err() == nil && r.config.Clock.Now().Before(deadline) {
		wait(ctx, nil, queuePollInterval)
		r.readEngineState(ctx)
		if state := r.engineState.Load(); state == nil || state.Queued == 0 {
			return
		}
	}
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
