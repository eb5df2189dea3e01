package attempt

import "github.com/auburnbend/auburnbend/lib/outcome"

// retryable reports whether an attempt that ended for this reason may succeed
// on another instance. Reasons caused by the request itself are not retryable.
func retryable(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonDraining,
		outcome.ReasonWeightsMismatch,
		outcome.ReasonOverloaded,
		outcome.ReasonMemoryExhausted,
		outcome.ReasonQueueFull,
		outcome.ReasonNoBackendServer,
		outcome.ReasonConnectionLost,
		outcome.ReasonBackendCrashed,
		outcome.ReasonIncomplete:
		return true
	default:
		return false
	}
}

// advisesRetry reports whether the caller may succeed by sending the request
// again later.
func advisesRetry(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonInvalid,
		outcome.ReasonUnknownService,
		outcome.ReasonUnknownTenant,
		outcome.ReasonTooLarge,
		outcome.ReasonHopLimit,
		outcome.ReasonCanceled,
		outcome.ReasonBackendError,
		outcome.ReasonNone:
		return false
	default:
		return true
	}
}

// isStaleView reports whether a refusal means only that the entry's view of the
// instance was out of date. Dispatching to another instance then adds no load
// to any backend server and uses no retry budget; Config.MaxAttempts bounds it.
// During a rollout every instance refuses for a moment, which would otherwise
// exhaust the budget.
func isStaleView(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonDraining, outcome.ReasonWeightsMismatch, outcome.ReasonNoBackendServer:
		return true
	default:
		return false
	}
}
