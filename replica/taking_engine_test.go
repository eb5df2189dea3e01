package replica

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// takingEngine is an in-memory engine that remembers which of the layers it holds it took
// corrupt. Like the platform's engines, it takes only layers that it doesn't hold, and
// doesn't count an order for what it holds.
type takingEngine struct {
	*scriptedEngine
	// layers is the number of layers of the model, and pieces that of its pieces.
	layers, pieces int
	// reportsLayers is set if the engine reports the layers that it holds.
	reportsLayers bool
	held          LayerRange
	corrupt       map[int]bool
	// takenCorrupt marks the held layers that were taken with a corrupt piece.
	takenCorrupt map[int]bool
	// beforeOrder is called when an order arrives, before the engine takes anything. It may
	// be nil.
	beforeOrder func()
	// accepted are the layers of the orders that began something, ordered the number of all.
	accepted []LayerRange
	ordered  int
}

func (e *takingEngine) StagePiece(_ context.Context, _ string, piece int, _ []byte) error {
	delete(e.corrupt, piece)
	return nil
}

func (e *takingEngine) Piece(ctx context.Context, model string, piece int) ([]byte, error) {
	if e.corrupt[piece] {
		return []byte("corrupt"), nil
	}
	return e.scriptedEngine.Piece(ctx, model, piece)
}

func (e *takingEngine) PieceReader(model string) PieceReader { return directReader{e, model} }

func (e *takingEngine) StartLoad(_ context.Context, _ string, version int, target LayerRange, orders int64) error {
	e.ordered++
	if e.beforeOrder != nil {
		e.beforeOrder()
	}
	all := LayerRange{To: e.layers}
	if target.Len() == 0 {
		target = all
	}
	if !all.includes(target) || orders != e.state.OrdersAccepted {
		return ErrOrderRejected
	}
	if e.state.Weights["m"].Version != version {
		e.held = LayerRange{}
	}
	if target != e.held {
		e.take(version, target)
	}
	return nil
}

func (e *takingEngine) take(version int, target LayerRange) {
	kept := e.held.Intersect(target)
	for layer := range e.layers {
		if kept.Contains(layer) {
			continue
		}
		delete(e.takenCorrupt, layer)
		from, to := piecesOf(layer, e.layers, e.pieces)
		for piece := from; piece < to && target.Contains(layer); piece++ {
			if e.corrupt[piece] {
				e.takenCorrupt[layer] = true
			}
		}
	}
	e.held = target
	e.accepted = append(e.accepted, target)
	e.state.OrdersAccepted++
	e.state.Weights = map[string]directory.Weights{"m": {Version: version, Complete: true}}
	if e.reportsLayers {
		e.state.Layers = &target
	}
}

// servesCorrupt reports whether requests would run on layers that were taken corrupt.
func (e *takingEngine) servesCorrupt() bool {
	return e.state.Weights["m"].Version == 2 && e.held == (LayerRange{To: e.layers}) && len(e.takenCorrupt) > 0
}

// newTakingEngine returns an engine that serves version 1.
func newTakingEngine(layers int) *takingEngine {
	return &takingEngine{
		scriptedEngine: &scriptedEngine{}, layers: layers, pieces: scriptedPieces, reportsLayers: true,
		held: LayerRange{To: layers}, corrupt: make(map[int]bool), takenCorrupt: make(map[int]bool),
	}
}
