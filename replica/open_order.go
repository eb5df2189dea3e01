package replica

import "context"

// openOrder is an order that the engine may accept at any later time, as it hasn't
// responded to it. The engine accepts it only while its number of accepted orders is that
// of stamp.
type openOrder struct {
	stamp loadStamp
	// sent is set if this process sent it. Otherwise an earlier process may have.
	sent bool
}

// acceptable reports whether the engine may accept the order. An order of this process may
// reach the next start of the engine, which counts its orders anew. The connections of a
// process that has ended end with the engine's.
func (o *openOrder) acceptable(state *EngineState) bool {
	return o != nil && o.stamp.ordersAccepted == state.OrdersAccepted && (o.sent || o.stamp == state.stamp())
}

// mayAcceptOrder reports whether the engine may still accept an order that it hasn't
// responded to.
func (r *Replica) mayAcceptOrder(state *EngineState) bool {
	return r.openOrder.Load().acceptable(state)
}

// sentOpenOrder reports whether the engine may still accept an order of this process that
// it hasn't responded to. The last state that was read can then be too old: the engine may
// have accepted the order since, and serve what it took.
func (r *Replica) sentOpenOrder(state *EngineState) bool {
	o := r.openOrder.Load()
	return o.acceptable(state) && o.sent
}

// closeForEarlierOrder closes an engine that may accept an order of an earlier process. Its
// last state is then too old to show what the engine serves.
func (r *Replica) closeForEarlierOrder(state *EngineState) {
	if o := r.openOrder.Load(); !o.acceptable(state) || o.sent || !r.trusts(state) {
		return
	}
	r.trusted.Store(&loadStamp{ordersAccepted: neverAccepted})
	r.wakeReporter()
}

// dismissEarlierOrder records that no earlier process has sent an order by which the engine
// would take layers.
func (r *Replica) dismissEarlierOrder() {
	if o := r.openOrder.Load(); o != nil && !o.sent {
		r.openOrder.Store(nil)
	}
}

// reducedTarget are the layers to order in a state of the engine instead of those that it
// must hold next, as some pieces of these are not intact and must not be written.
type reducedTarget struct {
	stamp  loadStamp
	layers LayerRange
}

// prepareGuarded prepares an order while the engine may accept another one, or while it
// holds suspect layers. It writes no piece that would make all layers look intact, and
// returns the layers to order, and whether the order may follow.
func (r *Replica) prepareGuarded(ctx context.Context, p *pendingVersion, state *EngineState, check *layerCheck, held, target LayerRange, deadline func() bool) (LayerRange, bool) {
	if p.reduced.stamp == state.stamp() {
		target = p.reduced.layers
	}
	switch {
	case held.includes(target):
		return target, true
	case check.givesUpAll(target):
		needed := check.piecesToTake(held, target)
		// Without a layer that keeps its corrupt piece, nothing is written.
		return target, check.overlapsEvidence(held, target) || r.stageVerified(ctx, p, state, check, held, target, needed, deadline)
	}
	v, err := r.verify(ctx, p, state.stamp(), check.piecesToTake(held, target), func() bool { return p.verification.firstCorrupt() >= 0 || deadline() })
	if err != nil {
		r.logEngineError(err)
		return target, false
	}
	r.wakeRun()
	if p.pieces.lacksPiece() {
		// All pieces are staged before the first order.
		r.dismissEarlierOrder()
		if !r.mayAcceptOrder(state) {
			p.verification = nil
			return target, false
		}
	}
	if corrupt := p.verification.firstCorrupt(); corrupt >= 0 {
		p.verification = nil
		p.reduced = reducedTarget{state.stamp(), check.reduce(held, corrupt)}
		// The same layers again can't be reduced further.
		return target, p.reduced.layers == target
	}
	return target, r.isFresh(p, v)
}
