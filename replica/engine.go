package replica

import (
	"context"
	"errors"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// ErrPieceNotFound means that a piece is not staged at the engine.
var ErrPieceNotFound = errors.New("piece is not staged at the engine")

// ErrOrderRejected means that the engine cannot carry out an order now.
var ErrOrderRejected = errors.New("engine rejected the load order")

// ErrEnginePaused means that nothing was sent, or that the engine has just rejected a call,
// as it has asked for no calls until a later time.
var ErrEnginePaused = errors.New("engine has asked for a pause")

// Engine is the model engine on the same instance. It is safe for concurrent
// use.
type Engine interface {
	// State returns the engine's state.
	State(ctx context.Context) (EngineState, error)
	// StagePiece stages a piece. The engine doesn't verify the data.
	StagePiece(ctx context.Context, model string, piece int, data []byte) error
	// Piece returns a staged piece, or ErrPieceNotFound.
	Piece(ctx context.Context, model string, piece int) ([]byte, error)
	// StagedPieces returns the indexes of the staged pieces of a model, of any version.
	StagedPieces(ctx context.Context, model string) ([]int, error)
	// PieceReader returns a reader of the staged pieces of a model.
	PieceReader(model string) PieceReader
	// StartLoad orders the engine to hold the given layers of a version, or all of
	// them if the range is empty. The engine takes the staged pieces of layers that it
	// doesn't hold, as they are when it accepts the order, and gives up all others. It
	// loads the first layers of a version once its running requests have ended. It
	// returns ErrOrderRejected unless the number of orders that it has accepted since
	// its start equals orders, so that only one of two orders based on the same state
	// takes effect.
	StartLoad(ctx context.Context, model string, version int, layers LayerRange, orders int64) error
}

// PieceReader reads staged pieces over a connection that it keeps. It is not safe for
// concurrent use.
type PieceReader interface {
	// Read returns a staged piece, or ErrPieceNotFound. What it returns may also be a
	// duplicate of an earlier response since the last Reset.
	Read(ctx context.Context, piece int) ([]byte, error)
	// Reset closes the connection. The next Read opens another one.
	Reset()
}

// EngineState is the state of an engine.
type EngineState struct {
	// StartUnixMilli is the engine's start in Unix milliseconds.
	StartUnixMilli int64
	// Running and Queued count requests.
	Running, Queued int
	// Slowdown is the factor by which the engine is slower than declared, or zero
	// if it didn't report one.
	Slowdown float64
	// OrdersAccepted counts the orders accepted since the engine's start.
	OrdersAccepted int64
	// Busy means that an order is in progress.
	Busy bool
	// Draining is set if the engine has stated since its start, in a response to any call,
	// that it drains.
	Draining bool
	// Weights are the loaded weights by model.
	Weights map[string]directory.Weights
	// Layers are the layers that the engine holds, or nil if it doesn't report them and
	// holds all layers of its weights.
	Layers *LayerRange
}

// held returns the layers of a version that the engine holds, of a model with the given
// number of layers.
func (s *EngineState) held(model string, version, layers int) LayerRange {
	if w, ok := s.Weights[model]; !ok || w.Version != version {
		return LayerRange{}
	}
	all := LayerRange{To: layers}
	if s.Layers == nil {
		return all
	}
	return s.Layers.Intersect(all)
}

// reportedLayers returns the number of layers that a version has at least, as the engine
// reports layers up to it, or zero if it reports none.
func (s *EngineState) reportedLayers(model string, version int) int {
	if w, ok := s.Weights[model]; !ok || w.Version != version || s.Layers == nil || s.Layers.To > maxReportedLayers {
		return 0
	}
	return s.Layers.To
}

// serves reports whether the engine holds all layers of a version or a newer one.
func (s *EngineState) serves(model string, version, layers int) bool {
	w, ok := s.Weights[model]
	return ok && w.Version >= version && s.held(model, w.Version, layers).Len() == layers
}

// loadStamp identifies what an engine has loaded: it changes whenever the engine accepts
// an order or restarts.
type loadStamp struct {
	startUnixMilli, ordersAccepted int64
}

// neverAccepted is a number of accepted orders that no engine reports.
const neverAccepted = -1

func (s *EngineState) stamp() loadStamp { return loadStamp{s.StartUnixMilli, s.OrdersAccepted} }
