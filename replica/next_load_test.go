package replica

import (
	"context"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// newTaken returns a replica whose engine has just taken version 2, and which has fetched
// version 3, due later.
func newTaken(t *testing.T, e *scriptedEngine) (r *Replica, taken, next *pendingVersion) {
	r, c, taken := newScripted(e)
	next = &pendingVersion{target: target{model: "m", version: 3}, pieces: taken.pieces, loadAfter: c.Now().Add(time.Second)}
	r.pending = []*pendingVersion{taken}
	r.SetTarget("m", 3)
	r.loadNow(taken)
	if e.orders != 1 {
		t.Fatalf("%d orders for version 2, want 1", e.orders)
	}
	r.pending = append(r.pending, next)
	e.state.OrdersAccepted = 1
	return r, taken, next
}

func (r *Replica) nextNow() *pendingVersion {
	r.readEngineState(context.Background())
	p, _ := r.nextLoad(&r.engineState.Load().EngineState)
	return p
}

// Guards against engines that load the next version at once instead of in their turn, many
// of them together, because the version that they have just taken is not verified yet.
func TestTakenVersionServesBeforeTheNextOneIsDue(t *testing.T) {
	e := &scriptedEngine{}
	r, taken, _ := newTaken(t, e)
	e.state.Busy = true
	if p := r.nextNow(); p != taken {
		t.Errorf("while the engine loads version 2, the next version is %+v", p)
	}
	e.state.Busy = false
	e.state.Weights["m"] = directory.Weights{Version: 2, Complete: true}
	for range 3 {
		r.readEngineState(context.Background())
		r.reconcile(context.Background())
	}
	if e.orders != 1 || r.Draining() {
		t.Errorf("%d orders, closed %v; want version 2 verified and served", e.orders, r.Draining())
	}
}

func TestNextVersionIsLoadedOverTheTakenOneWhenDue(t *testing.T) {
	e := &scriptedEngine{}
	r, _, next := newTaken(t, e)
	next.loadAfter = time.Time{}
	e.state.Weights["m"] = directory.Weights{Version: 2, Complete: true}
	if p := r.nextNow(); p != next {
		t.Errorf("the next version is %+v, want the one that is due", p)
	}
}

// Guards against layers that are taken again although a newer version can be taken at once.
func TestNextVersionReplacesCorruptLayersAtOnce(t *testing.T) {
	e := &scriptedEngine{}
	r, _, next := newTaken(t, e)
	e.state.Weights["m"] = directory.Weights{Version: 2, Complete: true}
	r.readEngineState(context.Background())
	r.check.states[1] = layerSuspect
	if p := r.nextNow(); p != next {
		t.Errorf("the next version is %+v, want version 3", p)
	}
}

// Guards against an engine that serves nothing after a restart until a version is due.
func TestAnyVersionIsDueAfterARestart(t *testing.T) {
	e := &scriptedEngine{}
	r, _, next := newTaken(t, e)
	e.state = EngineState{StartUnixMilli: 2}
	if p := r.nextNow(); p != next {
		t.Errorf("the next version is %+v, want the newest", p)
	}
}
