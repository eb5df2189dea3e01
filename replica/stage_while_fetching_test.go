package replica

import (
	"context"
	"testing"
	"time"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// stagedWhileFetching returns the number of pieces that an agent has staged of a version
// of which half of the pieces have arrived.
func stagedWhileFetching(t *testing.T, sinceDeclaration time.Duration, prepare func(*Replica, *scriptedEngine)) int {
	t.Helper()
	e := &scriptedEngine{}
	r, c, p := newScripted(e)
	r.SetLimits(8*time.Second, 0)
	r.SetTarget("m", 2)
	pieces := newPieceSet(p.pieces.manifest, e)
	for piece := range scriptedPieces / 2 {
		pieces.put(piece, []byte{byte(piece)})
	}
	r.fetching = &runningFetch{target: r.currentTarget(), cancel: func() {}, pieces: pieces}
	if prepare != nil {
		prepare(r, e)
	}
	c.Advance(sinceDeclaration)
	r.readEngineState(context.Background())
	r.reconcile(context.Background())
	if e.orders > 0 || len(pieces.missing()) != scriptedPieces/2 {
		t.Fatalf("%d orders, missing %v; want no order, and the fetch to go on", e.orders, pieces.missing())
	}
	count := 0
	for _, staged := range pieces.staged {
		if staged {
			count++
		}
	}
	return count
}

// Guards against a load that waits for the transfer of all pieces to the engine after the
// last one has arrived late.
func TestOverduePiecesAreStagedAsTheyArrive(t *testing.T) {
	noEarlierOrder := func(r *Replica, _ *scriptedEngine) { r.dismissEarlierOrder() }
	if got := stagedWhileFetching(t, 8*time.Second, noEarlierOrder); got != scriptedPieces/2 {
		t.Errorf("%d pieces of an overdue version staged, want %d", got, scriptedPieces/2)
	}
	empty := func(r *Replica, e *scriptedEngine) {
		e.state.Weights = nil
		r.fetching.pieces.setLacking()
	}
	if got := stagedWhileFetching(t, time.Second, empty); got != scriptedPieces/2 {
		t.Errorf("%d pieces staged at an engine without weights, want %d", got, scriptedPieces/2)
	}
}

// Guards against pieces that are written over those that peers may still fetch, or that
// the engine may take or was not verified to have taken.
func TestPiecesAreNotStagedWhileOthersAreNeeded(t *testing.T) {
	for name, prepare := range map[string]func(*Replica, *scriptedEngine){
		"order of an earlier process": func(*Replica, *scriptedEngine) {},
		"open order":                  func(r *Replica, _ *scriptedEngine) { r.openOrder.Store(&openOrder{sent: true}) },
		"unverified weights": func(r *Replica, e *scriptedEngine) {
			r.dismissEarlierOrder()
			e.state.OrdersAccepted = 1
		},
		"layers of the version held": func(r *Replica, e *scriptedEngine) {
			r.dismissEarlierOrder()
			e.state.Weights = map[string]directory.Weights{"m": {Version: 2}}
			e.state.Layers = &LayerRange{To: 1}
		},
	} {
		if got := stagedWhileFetching(t, 8*time.Second, prepare); got != 0 {
			t.Errorf("%s: %d pieces staged, want none", name, got)
		}
	}
	noEarlierOrder := func(r *Replica, _ *scriptedEngine) { r.dismissEarlierOrder() }
	if got := stagedWhileFetching(t, time.Second, noEarlierOrder); got != 0 {
		t.Errorf("%d pieces staged long before the load, want none", got)
	}
}
