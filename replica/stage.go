package replica

import (
	"context"
	"errors"
)

// stageAhead stages the next version before it is due, so that a slow transfer doesn't
// delay its load. An engine that restarts meanwhile loads that version at once.
func (r *Replica) stageAhead(ctx context.Context, state *EngineState) {
	r.mu.Lock()
	p := r.pending[0]
	r.mu.Unlock()
	if r.layers(state, p.checkKey(state)) > 1 && r.mayAcceptOrder(state) {
		return
	}
	r.stage(ctx, p, state, r.layerCheckFor(p, state), LayerRange{}, nil, r.stepDeadline())
}

// stageWhileFetching stages the pieces that have arrived of a version that the engine
// should load already, so that its load doesn't wait for all of them to be transferred to
// the engine after the last one. Earlier, peers may still fetch the previous version from
// there. The engine must not be about to take or verify other pieces.
func (r *Replica) stageWhileFetching(ctx context.Context, state *EngineState) {
	p := r.overdueFetch(state)
	if p != nil && p.pieces.lacksPiece() {
		// All pieces are staged before the first order.
		r.dismissEarlierOrder()
	}
	if p == nil || r.mayAcceptOrder(state) || len(state.Weights) > 0 && !r.trusts(state) || r.held(state, p).Len() > 0 {
		return
	}
	check := r.layerCheckFor(p, state)
	err := p.pieces.stagePresent(ctx, r.stepDeadline(), func(piece int) { check.pieceWritten(piece, false) })
	if err != nil {
		r.logEngineError(err)
	}
}

// overdueFetch returns the version that is being fetched if the engine is to load it as
// soon as it has arrived, or nil.
func (r *Replica) overdueFetch(state *EngineState) *pendingVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fetching
	if f == nil || f.pieces == nil || len(state.Weights) > 0 && r.config.Clock.Now().Before(r.loadTime(f)) {
		return nil
	}
	return &pendingVersion{target: f.target, pieces: f.pieces}
}

// stage stages those of the needed pieces that are not staged, or of all pieces if needed is
// nil. It reports whether all of them are.
func (r *Replica) stage(ctx context.Context, p *pendingVersion, state *EngineState, check *layerCheck, held LayerRange, needed []bool, deadline func() bool) bool {
	open := r.mayAcceptOrder(state)
	complete, err := p.pieces.stage(ctx, needed, deadline, func(piece int) {
		p.verification = nil
		check.pieceWritten(piece, open || check.needs(held, piece))
	})
	switch {
	case errors.Is(err, errPieceLost):
		r.discard(p)
	case err != nil:
		r.logEngineError(err)
	case !complete:
		r.wakeRun()
	}
	return complete
}

// stageVerified stages the needed pieces, or all if needed is nil, and verifies those that
// the engine takes with an order for target. It reports whether the order may follow.
func (r *Replica) stageVerified(ctx context.Context, p *pendingVersion, state *EngineState, check *layerCheck, held, target LayerRange, needed []bool, deadline func() bool) bool {
	if !r.stage(ctx, p, state, check, held, needed, deadline) {
		return false
	}
	v, err := r.verify(ctx, p, state.stamp(), check.piecesToTake(held, target), deadline)
	if err != nil {
		r.logEngineError(err)
		return false
	}
	if v != nil && !v.allIntact() {
		// The next attempt waits for a poll interval: the engine may store no piece intact.
		p.verification = nil
		return false
	}
	r.wakeRun()
	return r.isFresh(p, v)
}

// isFresh reports whether a pass is complete and recent enough for an order. One that is too
// old is dropped.
func (r *Replica) isFresh(p *pendingVersion, v *verification) bool {
	if v == nil {
		return false
	}
	if r.config.Clock.Now().Sub(v.finished) > maxVerificationAge {
		p.verification = nil
		return false
	}
	return true
}
