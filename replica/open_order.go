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

// verifyUnwritten verifies the needed pieces, of which none may be written because the
// engine may accept an order at any time. It is complete once all of them, or one that is
// not intact, have been read.
func (r *Replica) verifyUnwritten(ctx context.Context, p *pendingVersion, state *EngineState, needed []bool, deadline func() bool) (intact, complete bool) {
	v, err := r.verify(ctx, p, state.stamp(), needed, func() bool { return p.verification.foundCorrupt() || deadline() })
	if err != nil {
		r.logEngineError(err)
		return false, false
	}
	r.wakeRun()
	if p.pieces.lacksPiece() {
		// All pieces are staged before the first order.
		r.dismissEarlierOrder()
		if !r.mayAcceptOrder(state) {
			p.verification = nil
			return false, false
		}
	}
	intact = !p.verification.foundCorrupt()
	return intact, v != nil || !intact
}
