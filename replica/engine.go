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

// Engine is the model engine on the same instance. It is safe for concurrent
// use.
type Engine interface {
	// State returns the engine's state.
	State(ctx context.Context) (EngineState, error)
	// StagePiece stages a piece. The engine doesn't verify the data.
	StagePiece(ctx context.Context, model string, piece int, data []byte) error
	// Piece returns a staged piece, or ErrPieceNotFound.
	Piece(ctx context.Context, model string, piece int) ([]byte, error)
	// StartLoad orders the engine to load the staged pieces once its running
	// requests have ended. The engine returns ErrOrderRejected unless the number of
	// orders that it has accepted since its start equals orders, so that only one
	// of two orders based on the same state takes effect.
	StartLoad(ctx context.Context, model string, version int, orders int64) error
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
	// Weights are the loaded weights by model.
	Weights map[string]directory.Weights
}

// serves reports whether the engine serves a version or a newer one.
func (s *EngineState) serves(model string, version int) bool {
	w, ok := s.Weights[model]
	return ok && w.Complete && w.Version >= version
}
