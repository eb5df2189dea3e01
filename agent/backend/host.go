package backend

import (
	"context"

	"github.com/auburnbend/auburnbend/lib/engine"
	"github.com/auburnbend/auburnbend/lib/model"
	"github.com/auburnbend/auburnbend/lib/wire"
)

// Host provides a Runner with the other functions of the agent. Fetch, RequestPermit,
// Quiesce and the verifications may block until ctx ends; the other methods must return immediately.
// Methods are called concurrently.
type Host interface {
	// Fetch transfers and verifies a version and returns its files. It must return soon
	// after ctx ends. Calls do not overlap.
	Fetch(ctx context.Context, w model.Weights) (StagedWeights, error)
	// VerifyStaged verifies the files of a version again and returns it with new seals.
	VerifyStaged(ctx context.Context, f StagedWeights) (StagedWeights, error)
	// VerifyLoaded verifies that the files of a version are intact and that nobody has
	// written to them since their seals were made. Otherwise an engine that has read
	// them may have read anything.
	VerifyLoaded(ctx context.Context, f StagedWeights) error
	// RequestPermit requests a permit to replace the live weights with w.
	RequestPermit(ctx context.Context, w model.Weights) (Permit, error)
	// Quiesce refuses new requests and returns nil once none is running. Requests stay
	// refused until Serve is called. Quiesce must return soon after ctx ends. Calls
	// overlap neither with each other nor with Serve.
	Quiesce(ctx context.Context) error
	// Serve admits requests for w, or for none if w is zero. It ends a quiesce.
	Serve(w model.Weights)
	// Abort lets no running request end as a success, because the engine may have changed
	// its weights during them. If the engine has restarted, they end by themselves and
	// must not be canceled, so that a crash of the engine is still attributed to them.
	Abort(restarted bool)
	// ReportPhase reports the phase of a version. err is the reason of PhaseFailed.
	ReportPhase(w model.Weights, phase wire.Phase, err error)
	// Record stores the record of the live weights' load, for the Config of the next
	// agent of the instance. It must replace the previous record before it returns.
	Record(r LoadRecord)
	// OrderDone reports the result of an order submitted with SubmitOrder.
	OrderDone(r engine.Result)
}
