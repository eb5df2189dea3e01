package replica

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// stagingEngine is a scriptedEngine that stores pieces and records the layers of orders.
// It lacks pieces that were not staged.
type stagingEngine struct {
	scriptedEngine
	staged  map[int][]byte
	writes  int
	ordered []LayerRange
}

func (e *stagingEngine) StagePiece(_ context.Context, _ string, piece int, data []byte) error {
	e.writes++
	e.staged[piece] = data
	return nil
}

func (e *stagingEngine) Piece(_ context.Context, _ string, piece int) ([]byte, error) {
	data, ok := e.staged[piece]
	if !ok {
		return nil, ErrPieceNotFound
	}
	return data, nil
}

func (e *stagingEngine) PieceReader(model string) PieceReader { return directReader{e, model} }

func (e *stagingEngine) StartLoad(ctx context.Context, model string, version int, layers LayerRange, orders int64) error {
	e.ordered = append(e.ordered, layers)
	return e.scriptedEngine.StartLoad(ctx, model, version, layers, orders)
}

// accept makes the engine hold layers of version 2 as by one more order.
func (e *stagingEngine) accept(layers LayerRange) {
	e.state.OrdersAccepted++
	e.state.Weights = map[string]directory.Weights{"m": {Version: 2, Complete: true}}
	e.state.Layers = &layers
}

// newStaging returns a replica like newScripted, with an engine that holds the given data
// as each piece, and none of it if data is nil.
func newStaging(e *stagingEngine, data []byte) (*Replica, *pendingVersion) {
	r, _, p := newScripted(&e.scriptedEngine)
	r.config.Engine, p.pieces.engine = e, e
	e.staged = make(map[int][]byte)
	for piece := range scriptedPieces {
		p.pieces.staged[piece] = false
		if data != nil {
			e.staged[piece] = data
		}
	}
	return r, p
}

// Guards against requests to an engine that accepts an order of an earlier process while
// this one prepares its own, and against a closed engine before that.
func TestEngineIsClosedOnceALoadBeginsThatAnEarlierProcessMayHaveOrdered(t *testing.T) {
	for name, weights := range map[string]map[string]directory.Weights{"weights": {"m": {Version: 1, Complete: true}}, "no weights": nil} {
		e := &stagingEngine{scriptedEngine: scriptedEngine{orderErr: ErrOrderRejected}}
		r, p := newStaging(e, []byte("version 1"))
		e.state.Weights = weights
		r.readEngineState(context.Background())
		if r.Draining() {
			t.Errorf("%s: the engine is closed before the load", name)
		}
		r.loadNow(p)
		if !r.Draining() {
			t.Errorf("%s: the engine is open although it may accept an order of an earlier process", name)
		}
	}
}

// Guards against pieces that are all intact again after an order of an earlier process took
// them corrupt: the next process would trust them.
func TestFirstLayerIsNotWrittenWhileAnEarlierOrderMayBeAccepted(t *testing.T) {
	e := &stagingEngine{}
	r, p := newStaging(e, []byte("version 1"))
	for range 2 {
		r.loadNow(p)
	}
	last := LayerRange{From: scriptedLayers - 1, To: scriptedLayers}
	if from, _ := piecesOf(last.From, scriptedLayers, scriptedPieces); e.writes != scriptedPieces-from || !slices.Equal(e.ordered, []LayerRange{last}) {
		t.Fatalf("%d writes and orders %v, want the pieces of the last layer and an order for it", e.writes, e.ordered)
	}
	if string(e.staged[0]) != "version 1" {
		t.Error("a piece of the first layer was written")
	}
	e.accept(last)
	r.readEngineState(context.Background())
	for range 2 {
		r.loadNow(p)
	}
	if e.writes != scriptedPieces || !slices.Equal(e.ordered, []LayerRange{last, {To: last.From}}) {
		t.Errorf("%d writes and orders %v, want all pieces and an order for the other layers", e.writes, e.ordered)
	}
}

// Guards against additional orders after a restart of the agent alone.
func TestOneOrderIfAllPiecesAreStagedWhileAnEarlierOrderMayBeAccepted(t *testing.T) {
	e := &stagingEngine{}
	r, p := newStaging(e, nil)
	for piece := range scriptedPieces {
		e.staged[piece] = []byte{byte(piece)}
	}
	r.loadNow(p)
	if e.writes != 0 || !slices.Equal(e.ordered, []LayerRange{{}}) {
		t.Errorf("%d writes and orders %v, want none and one for all layers", e.writes, e.ordered)
	}
}

// Guards against additional orders where no earlier process can have sent one.
func TestPiecesAreWrittenIfNoEarlierProcessOrdered(t *testing.T) {
	for name, prove := range map[string]func(*stagingEngine, *Replica){
		"engine lacks a piece": func(e *stagingEngine, _ *Replica) { delete(e.staged, 0) },
		"engine restarted":     func(e *stagingEngine, _ *Replica) { e.state.StartUnixMilli++ },
		"version declared since": func(_ *stagingEngine, r *Replica) {
			r.SetTarget("m", 1)
			r.reconcile(context.Background())
		},
	} {
		e := &stagingEngine{}
		r, p := newStaging(e, []byte("version 1"))
		prove(e, r)
		r.readEngineState(context.Background())
		for range 3 {
			r.loadNow(p)
		}
		if e.writes != scriptedPieces || len(e.ordered) == 0 || e.ordered[0] != (LayerRange{}) {
			t.Errorf("%s: %d writes and orders %v, want all pieces and an order for all layers", name, e.writes, e.ordered)
		}
	}
}

// Guards against an order for pieces that are known to be corrupt.
func TestIntactLayersAreOrderedWhileAnEarlierOrderMayBeAccepted(t *testing.T) {
	e := &stagingEngine{}
	r, p := newStaging(e, nil)
	for piece := range scriptedPieces {
		e.staged[piece] = []byte{byte(piece)}
	}
	e.staged[scriptedPieces-1] = []byte("corrupt")
	for range 2 {
		r.loadNow(p)
	}
	if want := (LayerRange{To: scriptedLayers - 1}); e.writes != 0 || !slices.Equal(e.ordered, []LayerRange{want}) {
		t.Errorf("%d writes and orders %v, want none and one for the intact layers", e.writes, e.ordered)
	}
}

// Guards against a piece that is written while an order of this process may be accepted.
func TestNoPieceIsWrittenWhileAnOrderIsOpen(t *testing.T) {
	e := &stagingEngine{scriptedEngine: scriptedEngine{orderErr: errors.New("no response")}}
	r, p := newStaging(e, nil)
	for range 2 {
		r.loadNow(p)
	}
	if e.writes != scriptedPieces || !slices.Equal(e.ordered, []LayerRange{{}}) {
		t.Fatalf("%d writes and orders %v, want all pieces and one order", e.writes, e.ordered)
	}
	e.staged[0] = []byte("corrupt")
	for range 2 {
		r.loadNow(p)
	}
	if e.writes != scriptedPieces || len(e.ordered) < 2 {
		t.Errorf("%d writes and orders %v, want no further write and an order", e.writes, e.ordered)
	}
}

// Guards against layers that count as intact although an order took them that this process
// knows nothing of: it may have written their pieces since.
func TestLayersOfAnUnknownOrderAreSuspect(t *testing.T) {
	e := &stagingEngine{}
	r, p := newStaging(e, nil)
	for range 3 {
		r.loadNow(p)
	}
	for range 2 {
		e.accept(LayerRange{To: scriptedLayers})
	}
	r.readEngineState(context.Background())
	r.loadNow(p)
	if all := (LayerRange{To: scriptedLayers}); r.check.suspectLayers(all) != scriptedLayers {
		t.Errorf("layers are %v, want suspect", r.check.states)
	}
}

// Guards against a first layer that was taken corrupt and whose piece is intact again when
// the agent ends before it gives that layer up.
func TestOnlyLayerIsGivenUpBeforeItsPiecesAreWritten(t *testing.T) {
	e := &stagingEngine{}
	r, p := newStaging(e, nil)
	for range 3 {
		r.loadNow(p)
	}
	e.accept(LayerRange{To: 1})
	e.staged[0] = []byte("corrupt")
	e.writes, e.ordered = 0, nil
	r.readEngineState(context.Background())
	for range 2 {
		r.loadNow(p)
	}
	if want := (LayerRange{From: scriptedLayers - 1, To: scriptedLayers}); e.writes != 0 || len(e.ordered) == 0 || e.ordered[0] != want {
		t.Errorf("%d writes and orders %v, want none before the first layer is given up", e.writes, e.ordered)
	}
}
