package replica

import (
	"context"
	"testing"
)

// pausingEngine is a scriptedEngine that may have asked for a pause.
type pausingEngine struct {
	scriptedEngine
	paused bool
}

func (e *pausingEngine) State(ctx context.Context) (EngineState, error) {
	if e.paused {
		return EngineState{}, ErrEnginePaused
	}
	return e.scriptedEngine.State(ctx)
}

// Guards against an engine that gets no requests of entries because it has asked its agent for a pause.
func TestEngineStaysOpenDuringAPauseOfItsAgent(t *testing.T) {
	e := &pausingEngine{}
	r, _, _ := newScripted(&e.scriptedEngine)
	r.config.Engine = e
	r.dismissEarlierOrder()
	e.paused = true
	r.readEngineState(context.Background())
	if r.Draining() {
		t.Error("the engine is closed")
	}
}

// Guards against requests to an engine whose state is unknown, as it paused its agent after an order.
func TestEngineIsClosedIfThePauseBeginsWithAnOrder(t *testing.T) {
	e := &pausingEngine{}
	r, _, p := newScripted(&e.scriptedEngine)
	r.config.Engine, p.pieces.engine = e, e
	e.onOrder = func() { e.paused = true }
	r.loadNow(p)
	if e.orders != 1 || !r.Draining() {
		t.Errorf("%d orders, want 1; closed: %t, want true", e.orders, r.Draining())
	}
	e.paused = false
	r.readEngineState(context.Background())
	if r.engineState.Load() == nil {
		t.Error("the state is not read after the pause")
	}
}

// Guards against requests to an engine that may accept an order of an earlier process unseen.
func TestEngineIsClosedDuringAPauseIfAnEarlierOrderMayBeAccepted(t *testing.T) {
	e := &pausingEngine{}
	r, _, _ := newScripted(&e.scriptedEngine)
	r.config.Engine, e.paused = e, true
	r.readEngineState(context.Background())
	if !r.Draining() {
		t.Error("the engine is open")
	}
}
