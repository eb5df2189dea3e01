package replica

import (
	"context"
	"errors"

	"github.com/auburnbend/auburnbend/lib/directory"
)

// ErrPieceNotFound reports a piece that is not there.
var ErrPieceNotFound = errors.New("piece is not there")

// ErrOrderRejected reports an order that the engine cannot follow now.
var ErrOrderRejected = errors.New("order was not accepted")

// Engine is the model engine on the same instance. It is safe for concurrent
// use.
type Engine interface {
	// State returns the engine's state.
	State(ctx context.Context) (EngineState, error)
	// StagePiece stages a piece. What it holds is not checked by the engine.
	StagePiece(ctx context.Context, model string, piece int, data []byte) error
	// Piece returns a staged piece, or ErrMissing.
	Piece(ctx context.Context, model string, piece int) ([]byte, error)
	// StartLoad orders the engine to load the staged pieces once its running
	// requests have ended, if it has accepted so many orders since its start. Of two
	// orders that were decided on the same state, only one takes effect.
	StartLoad(ctx context.Context, model string, version int, orders int64) error
}

// EngineState is the state of an engine.
type EngineState struct {
	// StartUnixMilli is its start in Unix milliseconds.
	StartUnixMilli int64
	// Running and Waiting count requests.
	Running, Queued int
	// Slowdown is how much slower than declared it works; zero if it did not tell.
	Slowdown float64
	// OrdersAccepted counts the orders that it has accepted since its start.
	OrdersAccepted int64
	// Busy tells that an order is in progress.
	Busy bool
	// Weights are the loaded weights by model.
	Weights map[string]directory.Weights
}

// serves reports whether the engine serves a version or a newer one.
func (r *EngineState) serves(model string, version int) bool {
	w, ok := r.Weights[model]
	return ok && w.Complete && w.Version >= version
}
