package attempt

import "github.com/auburnbend/auburnbend/lib/outcome"

// worthAnother says whether an attempt that ended for a reason may succeed on
// another instance. Reasons that lie in the request itself do not.
func worthAnother(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonDraining,
		outcome.ReasonWeightsMismatch,
		outcome.ReasonOverloaded,
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

// retryAdvised says whether a caller gains anything by asking again later.
func retryAdvised(r outcome.Reason) bool {
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

// redirects says whether a refusal means only that the entry's view of the
// instance was old. Going elsewhere then adds no load to any backend server, so
// it costs no retry budget; MaxAttempts bounds it. During a rollout every
// instance refuses for a moment, which would use up the budget otherwise.
func redirects(r outcome.Reason) bool {
	switch r {
	case outcome.ReasonDraining, outcome.ReasonWeightsMismatch, outcome.ReasonNoBackendServer:
		return true
	default:
		return false
	}
}
