package backend

import (
	"context"
	"time"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Host does for a Runner what concerns the rest of the agent. Fetch, Permit and
// Quiesce may block until ctx ends; the others return at once. Methods may be
// called from several goroutines.
type Host interface {
	// Fetch brings and verifies a version and says where it is staged. It
	// returns soon after ctx ends; calls do not overlap.
	Fetch(ctx context.Context, w model.Weights) (StagedWeights, error)
	// RequestPermit asks whether the instance may leave what it serves for w.
	RequestPermit(ctx context.Context, w model.Weights) (granted bool, retry time.Duration, err error)
	// Quiesce refuses new requests and returns nil when none runs. Requests
	// stay refused until Serve. It returns soon after ctx ends; calls do not
	// overlap with each other or with Serve.
	Quiesce(ctx context.Context) error
	// Serve admits requests for w, or for none when w is zero. It ends a
	// quiesce.
	Serve(w model.Weights)
	// ReportPhase tells the phase of a version; err says why it failed.
	ReportPhase(w model.Weights, phase wire.Phase, err error)
	// OrderDone tells the result of an order that Order gave.
	OrderDone(r engine.Result)
}
